"""Randomised runs of the replicated log under faults; checks invariants at each step.

``python -m tests.soak_consensus SEEDS [STEPS [FIRST]]`` runs SEEDS seeds from FIRST.
"""

import heapq
import math
import random
import sys
from collections import Counter
from dataclasses import dataclass, field, fields

import msgspec

from damaskridge.adapters.control_node import COMPACT_AFTER_ENTRIES
from damaskridge.adapters.disk.store import LogStore
from damaskridge.adapters.raft_driver import RaftDriver
from damaskridge.core.consensus import messages as m
from damaskridge.core.consensus.election import Role
from damaskridge.core.consensus.leader import MAX_ENTRIES_PER_MESSAGE
from damaskridge.core.consensus.membership import host_name, with_learner
from damaskridge.model import consensus as wire
from tests.linearizability import Operation, is_linearizable
from tests.memory_folder import MemoryFolder, PowerLost

__all__ = [
    "FREQUENT_SNAPSHOTS",
    "LOG_LIMITS",
    "YOUNG_LOG",
    "LogLimits",
    "Report",
    "Simulation",
    "election_steps",
    "run_seed",
]

STEP_S = 0.01
FORMATION_STEPS = 150
RECOVERY_STEPS = 400
CLIENT_TIMEOUT_S = 0.5
# A kind that is listed n times is drawn n times as often.
FAULT_KINDS = (
    "crash blackout power power start start start partition isolate isolate heal heal "
    "lose_disk lose_disk flip_bit flip_bit change transfer kill_then_power "
    "kill_then_power"
).split()
GUARD_NAMES = frozenset(f.name for f in fields(m.Guards))


@dataclass(frozen=True)
class LogLimits:
    """After how many entries a log is compacted, and how many a message holds."""

    compact_after_entries: int
    max_entries_per_message: int


# A member starts with a snapshot, and catches up in many messages.
FREQUENT_SNAPSHOTS = LogLimits(12, 3)
# The limits of the product: for its first 2,000 entries a group has no snapshot, so
# that a member starts with a commit index of 0.
YOUNG_LOG = LogLimits(COMPACT_AFTER_ENTRIES, MAX_ENTRIES_PER_MESSAGE)
# A member starts with a snapshot and a long log behind it.
OLD_LOG = LogLimits(200, MAX_ENTRIES_PER_MESSAGE)
LOG_LIMITS = (FREQUENT_SNAPSHOTS, YOUNG_LOG, OLD_LOG)


@dataclass(frozen=True)
class Report:
    steps: int
    faults: Counter[str]
    operations: int


class Invariants:
    """The safety properties of Raft, checked over all members and the whole run."""

    def __init__(self) -> None:
        self.leaders: dict[int, str] = {}
        self.votes: dict[tuple[str, int], str] = {}
        self.entries: dict[tuple[int, int], tuple[object, int | None]] = {}
        self.committed: dict[int, tuple[wire.LogEntry, int]] = {}
        self.last_committed = 0
        self.membership = wire.Membership(())

    def check_appended(self, node, entries) -> None:
        for entry in entries:
            observed = (entry, node.log.term(entry.index - 1))
            if observed[1] is None:
                continue
            recorded = self.entries.setdefault((entry.index, entry.term), observed)
            assert recorded == observed, f"log matching violated at {entry.index}"

    def check_leadership_won(self, node, term: int) -> None:
        assert self.leaders.setdefault(term, node.name) == node.name, (
            "two leaders in one term"
        )
        for index in range(node.log.snapshot.index + 1, self.last_committed + 1):
            entry, commit_term = self.committed[index]
            if commit_term < term:
                present = node.log.term(index) == entry.term
                assert present, f"leader of {term} lacks committed entry {index}"

    def check_applied(self, node, entries) -> None:
        if node.role is Role.LEADER:
            assert entries[-1].term == node.term, "commit of an older term's entry"
        for entry in entries:
            observed = (entry, node.term)
            recorded = self.committed.setdefault(entry.index, observed)
            assert recorded[0] == entry, f"two committed entries at {entry.index}"
            if entry.index > self.last_committed:
                assert entry.index == self.last_committed + 1
                self.last_committed = entry.index
                self.membership = entry.membership or self.membership


@dataclass
class Member:
    """One host; its disk is kept when its process stops."""

    host: str
    folder: MemoryFolder = field(default_factory=MemoryFolder)
    driver: RaftDriver | None = None
    value: int = 0
    applied: int = 0
    isolated_term: int | None = None
    has_flipped_bit: bool = False
    # Whether the process is killed at its next write, and is back at once.
    is_killed_writing: bool = False
    power_lost_s: float = math.inf
    pending_proposals: dict[int, tuple[int, Operation]] = field(default_factory=dict)
    pending_reads: dict[int, tuple[int, Operation]] = field(default_factory=dict)
    ready_reads: list[tuple[int, Operation]] = field(default_factory=list)


class Simulation:
    """
    A control group on a simulated network with simulated disks and clients.

    Without `limits`, the seed draws those of the log.
    """

    def __init__(
        self,
        seed: int,
        disabled_guards: frozenset[str],
        limits: LogLimits | None = None,
    ) -> None:
        assert disabled_guards <= GUARD_NAMES
        # A source of its own, so that the limits change nothing else of a seed.
        self.limits = limits or random.Random(f"limits {seed}").choice(LOG_LIMITS)
        self.rng = random.Random(seed)
        self.guards = m.Guards(**{name: False for name in disabled_guards})
        self.hosts = tuple(f"c{i}" for i in range(self.rng.choice((3, 5))))
        self.tolerated_losses = self.known_tolerance()
        self.members = {host: Member(host) for host in self.hosts}
        self.invariants = Invariants()
        self.in_flight: list[tuple[float, int, str, str, wire.Message]] = []
        self.blocked_links: set[tuple[str, str]] = set()
        self.faults: Counter[str] = Counter()
        self.history: list[Operation] = []
        self.open_operations: list[Operation | None] = [None, None, None]
        self.now_s = 0.0
        self.sequence = 0
        self.faults_enabled = False
        self.committed_in_step = False
        self.loss = self.rng.choice((0.0, 0.02, 0.15))
        for host in self.hosts:
            self.start(host)

    def known_tolerance(self) -> int | None:
        """Return how many hosts the members know that may be lost at a time."""
        return None

    def deployment_of(self, host: str) -> dict[str, object]:
        """Return what the settings of a host tell of its deployment."""
        return {"data_centre": host, "is_added": self.now_s > 0.0}

    # Processes and disks

    def start(self, host: str) -> None:
        member = self.members[host]
        member.isolated_term = None
        disk_id = f"{self.rng.getrandbits(64):016x}"
        store = LogStore(member.folder, disk_id, self.guards.checksum)
        try:
            stored = store.open()
        except PowerLost:
            self.stop(host)
            return
        self.faults["damage"] += bool(stored.damage)
        assert member.has_flipped_bit or not stored.damage, (
            "the store reports damage without a bit flip"
        )
        member.has_flipped_bit = False
        self.faults["torn_tail"] += bool(stored.cut_bytes)
        rng = random.Random(self.rng.getrandbits(64))
        driver = RaftDriver(
            host, store, stored, rng, self.now_s, self.hosts,
            max_entries=self.limits.max_entries_per_message, guards=self.guards,
            tolerated_losses=self.tolerated_losses, **self.deployment_of(host),
        )  # fmt: skip
        member.driver = driver
        member.pending_proposals, member.pending_reads, member.ready_reads = {}, {}, []
        self.restore(member, driver.node.log.snapshot)

    def stop(self, host: str, *, loses_power: bool | None = None) -> None:
        """End a process by a kill or a loss of power; None draws one of the two."""
        member = self.members[host]
        member.driver = None
        member.folder.operations_left = None
        if loses_power is None:
            loses_power = self.rng.random() < 0.5
        if loses_power:
            member.folder.lose_power(self.rng)

    def stop_at_write(self, host: str) -> None:
        """End a process whose write is not synced yet."""
        member = self.members[host]
        self.stop(host, loses_power=not member.is_killed_writing)
        if member.is_killed_writing:
            member.is_killed_writing = False
            self.start(host)
            member.power_lost_s = self.now_s + self.rng.uniform(0.0, 0.2)

    def lose_power_if_due(self, host: str) -> None:
        member = self.members[host]
        if self.now_s >= member.power_lost_s:
            member.power_lost_s = math.inf
            self.stop(host, loses_power=True)
            self.faults["power_after_kill"] += 1

    def restore(self, member: Member, snapshot: wire.Snapshot) -> None:
        member.applied = snapshot.index
        member.value = int(snapshot.state or b"0")

    def is_fully_joined(self) -> bool:
        """
        Return whether every host runs, votes and has the same membership.

        Only then is it safe to lose the disk of one host.
        """
        live = [x.driver.node for x in self.members.values() if x.driver]
        names = {node.name for node in live}
        memberships = {node.log.membership() for node in live}
        whole = self.invariants.membership
        return (
            len(names) == len(self.hosts)
            and set(whole.voters) == names
            and memberships == {whole}
        )

    # Events and actions of a member

    def run(self, host: str, *events: m.Event) -> list[m.Action]:
        """Pass events to a member, check the invariants and execute its actions."""
        member = self.members[host]
        driver = member.driver
        if driver is None:
            return []
        step = driver.node.step

        def checked(event, now_s):
            actions = step(event, now_s)
            for action in actions:
                if isinstance(action, m.Persist):
                    self.invariants.check_appended(driver.node, action.entries)
                elif isinstance(action, m.LeadershipWon):
                    self.invariants.check_leadership_won(driver.node, action.term)
                elif isinstance(action, m.ApplyEntries):
                    self.invariants.check_applied(driver.node, action.entries)
            return actions

        driver.node.step = checked
        try:
            actions = driver.run(events, self.now_s)
        except PowerLost:
            self.stop_at_write(host)
            return []
        finally:
            driver.node.step = step
        for action in actions:
            self.execute(member, action)
        self.complete_reads(member)
        return actions

    def execute(self, member: Member, action: m.Action) -> None:
        if isinstance(action, m.SendMessage):
            self.transmit(member.host, action.to, action.message)
        elif isinstance(action, m.ApplyEntries):
            for entry in action.entries:
                self.apply(member, entry)
            is_leader = member.driver and member.driver.node.role is Role.LEADER
            self.committed_in_step |= bool(is_leader)
        elif isinstance(action, m.RestoreSnapshot):
            self.restore(member, action.snapshot)
        elif isinstance(action, m.SyncedEntriesLost):
            assert self.guards != m.Guards(), "a synced entry was lost"
        elif isinstance(action, m.LeadershipLost):
            member.pending_proposals, member.ready_reads = {}, []
        elif isinstance(action, m.ReadReady) and action.read_id in member.pending_reads:
            min_index, operation = member.pending_reads.pop(action.read_id)
            assert action.index >= min_index, "stale read index"
            member.ready_reads.append((action.index, operation))

    def apply(self, member: Member, entry: wire.LogEntry) -> None:
        assert entry.index == member.applied + 1
        member.applied = entry.index
        took_place = False
        if entry.command:
            expected, new = msgspec.msgpack.decode(entry.command)
            took_place = member.value == expected
            member.value = new if took_place else member.value
        term, operation = member.pending_proposals.pop(entry.index, (0, None))
        if operation and term == entry.term:
            self.complete(operation, took_place)

    def complete_reads(self, member: Member) -> None:
        for item in list(member.ready_reads):
            if item[0] <= member.applied:
                member.ready_reads.remove(item)
                self.complete(item[1], member.value)

    def complete(self, operation: Operation, result: int) -> None:
        if operation in self.open_operations:
            operation.result, operation.returned_s = int(result), self.now_s
            self.open_operations[self.open_operations.index(operation)] = None

    # Network

    def transmit(self, source: str, to: str, message: wire.Message) -> None:
        """Queue a message with a delay; under faults it may be lost or duplicated."""
        self.record_own_vote(message)
        copies = 1
        delay_s = self.rng.uniform(0.0005, 0.004)
        if self.faults_enabled:
            copies = 0 if self.rng.random() < self.loss else 1
            copies += self.rng.random() < 0.03
            if self.rng.random() < 0.05:
                delay_s = self.rng.uniform(0.0, 1.0)
        for _ in range(copies):
            self.sequence += 1
            due_s = self.now_s + delay_s * self.rng.uniform(1, 2)
            item = (due_s, self.sequence, source, to, message)
            heapq.heappush(self.in_flight, item)

    def record_own_vote(self, message: wire.Message) -> None:
        if isinstance(message, wire.VoteRequest) and not message.pre_vote:
            self.record_vote(message.sender, message.term, message.sender)

    def record_vote(self, voter: str, term: int, candidate: str) -> None:
        recorded = self.invariants.votes.setdefault((voter, term), candidate)
        assert recorded == candidate, "two votes in one term"

    def deliver(self) -> None:
        while self.in_flight and self.in_flight[0][0] <= self.now_s:
            _, _, source, to, message = heapq.heappop(self.in_flight)
            member = self.members[host_name(to)]
            if (source, member.host) in self.blocked_links or member.driver is None:
                continue
            if to in (member.driver.node.name, member.host):
                actions = self.run(member.host, m.MessageReceived(message))
                self.record_granted_votes(message, actions)

    def record_granted_votes(
        self, message: wire.Message, actions: list[m.Action]
    ) -> None:
        for action in actions:
            reply = getattr(action, "message", None)
            if isinstance(reply, wire.VoteReply) and reply.granted:
                if not reply.pre_vote:
                    self.record_vote(reply.sender, reply.term, message.sender)

    # Faults

    def inject_fault(self) -> None:
        """Draw a host and a kind of fault; do nothing if the fault cannot apply."""
        rng, host = self.rng, self.rng.choice(self.hosts)
        running = self.members[host].driver is not None
        kind = rng.choice(FAULT_KINDS)
        if kind == "crash" and running:
            self.stop(host)
        elif kind == "blackout":
            self.restart_all()
        elif kind == "power" and running:
            self.members[host].folder.operations_left = rng.randrange(6)
        elif kind == "kill_then_power" and running:
            self.members[host].is_killed_writing = True
            self.members[host].folder.operations_left = 0
        elif kind == "start" and not running:
            self.start(host)
        elif kind in ("partition", "isolate"):
            self.partition(kind == "isolate")
        elif kind == "heal":
            self.heal()
        elif kind in ("lose_disk", "flip_bit") and self.is_fully_joined():
            self.stop(host)
            folder = self.members[host].folder
            self.members[host].has_flipped_bit = kind == "flip_bit"
            folder.lose() if kind == "lose_disk" else folder.flip_bit(rng)
            self.start(host)
            if rng.random() < 0.7:
                self.isolate_leader()
        elif kind == "change":
            self.change_membership()
        elif kind == "transfer":
            self.run(host, m.TransferLeadership())
        else:
            return
        self.faults[kind] += 1

    def restart_all(self) -> None:
        """Stop all processes at once, then start them."""
        for host in self.hosts:
            self.stop(host)
        for host in self.hosts:
            self.start(host)

    def restart_quorum(self) -> None:
        """Stop a random quorum right after a commit, then start it."""
        size = self.rng.randrange(len(self.hosts) // 2 + 1, len(self.hosts) + 1)
        group = self.rng.sample(self.hosts, size)
        for host in group:
            self.stop(host)
        for host in group:
            self.start(host)
        self.faults["quorum_power"] += 1

    def disrupt_formation(self) -> None:
        """Stop or start a process, or cut its power during its first disk writes."""
        host = self.rng.choice(self.hosts)
        member = self.members[host]
        if member.driver is None:
            self.start(host)
        elif self.rng.random() < 0.5:
            member.folder.operations_left = self.rng.randrange(5)
        else:
            self.stop(host)

    def partition(self, isolate: bool) -> None:
        size = 1 if isolate else self.rng.randrange(1, len(self.hosts))
        self.split(set(self.rng.sample(self.hosts, size)))

    def isolate_leader(self) -> None:
        """Isolate the leader; a host that lost its disk then sees lagging followers."""
        for host in self.leaders():
            self.split({host})

    def split(self, group: set[str]) -> None:
        self.heal()
        for a in self.hosts:
            for b in self.hosts:
                if (a in group) != (b in group):
                    self.blocked_links.add((a, b))
        if len(group) == 1:
            member = self.members[group.pop()]
            if member.driver:
                member.isolated_term = member.driver.node.term

    def heal(self) -> None:
        self.blocked_links.clear()
        for member in self.members.values():
            member.isolated_term = None

    def leaders(self) -> list[str]:
        """Return the hosts whose member is in the leader role."""
        running = ((h, self.members[h].driver) for h in self.hosts)
        return [h for h, d in running if d and d.node.role is Role.LEADER]

    def change_membership(self) -> None:
        present = self.invariants.membership
        names = [x.driver.node.name for x in self.members.values() if x.driver]
        absent = [n for n in names if n not in present.voters + present.learners]
        for host in self.leaders():
            name = self.members[host].driver.node.name
            others = [v for v in present.voters if v != name]
            if absent:
                new = with_learner(present, absent[0])
            elif (
                len(present.voters) > 2
                and self.is_fully_joined()
                and self.faults_enabled
            ):
                gone = self.rng.choice(others)
                left = tuple(v for v in present.voters if v != gone)
                new = wire.Membership(left, present.learners)
            else:
                continue
            self.run(host, m.ChangeMembership(new))

    # Clients

    def run_clients(self) -> None:
        for client, operation in enumerate(self.open_operations):
            if operation is not None:
                if self.now_s > operation.called_s + CLIENT_TIMEOUT_S:
                    self.open_operations[client] = None
            elif self.rng.random() < 0.2:
                self.start_operation(client, self.rng.choice(self.hosts))

    def start_operation(self, client: int, host: str) -> None:
        member = self.members[host]
        driver = member.driver
        if driver is None or driver.node.role is not Role.LEADER:
            return
        self.sequence += 1
        if self.rng.random() < 0.5:
            operation = Operation(self.now_s)
            self.open_operations[client] = operation
            member.pending_reads[self.sequence] = (
                self.invariants.last_committed,
                operation,
            )
            self.history.append(operation)
            self.run(host, m.ReadRequest(self.sequence))
            return
        expected = self.rng.choice((member.value, member.value, 0))
        operation = Operation(self.now_s, expected, self.sequence)
        self.open_operations[client] = operation
        self.history.append(operation)
        command = msgspec.msgpack.encode((expected, self.sequence))
        # Registered before the step, since with one voter the entry commits in it.
        index = driver.node.log.last_index + 1
        member.pending_proposals[index] = (driver.node.term, operation)
        # Empty commands change nothing, and make batches of several records.
        padding = (b"",) * self.rng.choice((0, 0, 1, 3))
        actions = self.run(host, m.Propose((command, *padding)))
        if any(isinstance(action, m.ProposalRefused) for action in actions):
            member.pending_proposals.pop(index, None)
            self.history.remove(operation)
            self.open_operations[client] = None

    # Steps of the run

    def step(self) -> None:
        self.now_s += STEP_S
        self.committed_in_step = False
        self.deliver()
        if self.faults_enabled and self.committed_in_step and self.rng.random() < 0.01:
            self.restart_quorum()
        for host in self.hosts:
            self.run(host, m.Tick())
            self.compact(host)
            self.lose_power_if_due(host)
        self.check_isolated_terms()
        self.run_clients()
        if self.faults_enabled and self.rng.random() < 0.03:
            self.inject_fault()

    def compact(self, host: str) -> None:
        member = self.members[host]
        if (
            member.driver is None
            or len(member.driver.node.log) < self.limits.compact_after_entries
        ):
            return
        if member.applied > member.driver.node.log.snapshot.index:
            self.faults["snapshot"] += 1
            self.run(host, m.CompactLog(member.applied, str(member.value).encode()))

    def check_isolated_terms(self) -> None:
        """Check that pre-vote keeps isolated members from raising their term."""
        for member in self.members.values():
            if member.driver and member.isolated_term is not None:
                term = member.driver.node.term
                assert term == member.isolated_term, (
                    "an isolated member raised its term"
                )

    def check_recovery(self) -> None:
        """Check that without faults all hosts rejoin and commands are committed."""
        self.faults_enabled = False
        self.heal()
        for host in self.hosts:
            member = self.members[host]
            member.folder.operations_left = None
            member.power_lost_s = math.inf
            if member.driver is None:
                self.start(host)
        before = self.invariants.last_committed
        for step in range(RECOVERY_STEPS):
            self.step()
            if step % 20 == 19:
                self.change_membership()
        assert self.invariants.last_committed > before, "no progress after healing"
        assert self.is_fully_joined(), "a member did not rejoin after healing"


def run_seed(
    seed: int, steps: int, disabled_guards: frozenset[str] = frozenset()
) -> Report:
    """Run one seed; raise `AssertionError` if an invariant is violated."""
    simulation = Simulation(seed, disabled_guards)
    for step in range(FORMATION_STEPS):
        simulation.step()
        if seed % 4 == 0 and step < FORMATION_STEPS // 2 and step % 7 == 3:
            simulation.disrupt_formation()
    if seed % 4 == 0:
        simulation.check_recovery()
    assert simulation.is_fully_joined(), "the group did not form"
    simulation.faults_enabled = True
    for _ in range(steps):
        simulation.step()
    simulation.check_recovery()
    assert is_linearizable(simulation.history), "history is not linearizable"
    total = steps + FORMATION_STEPS + RECOVERY_STEPS
    return Report(total, simulation.faults, len(simulation.history))


def election_steps(seed: int) -> int:
    """Return the steps of `STEP_S` from the stop of the leader to the next election."""
    simulation = Simulation(seed, frozenset())
    for _ in range(FORMATION_STEPS):
        simulation.step()
    simulation.stop(simulation.leaders()[0])
    steps = 0
    while not simulation.leaders():
        simulation.step()
        steps += 1
    return steps


def main(seeds: int = 1000, steps: int = 1500, first: int = 0) -> None:
    """Run `seeds` seeds from `first` on; stop at the first violation."""
    faults: Counter[str] = Counter()
    for seed in range(first, first + seeds):
        try:
            report = run_seed(seed, steps)
        except AssertionError as error:
            raise SystemExit(f"seed {seed} steps {steps}: {error!r}") from error
        faults += report.faults
    print(f"{seeds} seeds, {steps} steps each, faults: {dict(faults)}")


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
