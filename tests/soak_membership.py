"""Randomised losses of control hosts; checks that the group recovers from each series.

``python -m tests.soak_membership SEEDS [FIRST]`` runs SEEDS seeds from FIRST.

Hosts with a disk are replaced by others, lose their disks, lose power or are
partitioned, one loss after the other. A loss ends when its host, or the successor of a
removed one, has been back for `CATCH_UP_S`. No more than `tolerance` of the hosts are
lost at a time, except by a power failure of all or a partition into halves, which lose
no disk.
"""

import random
import sys
from collections import Counter
from itertools import combinations

from damaskridge.adapters.disk.store import LogStore
from damaskridge.adapters.raft_driver import RaftDriver
from damaskridge.core.consensus.election import ELECTION_TIMEOUT_RANGE_S
from damaskridge.core.consensus.membership import (
    OBSERVER_PREFIX,
    host_name,
    quorum_size,
)
from damaskridge.core.consensus.messages import BeginLeave, HostRefusedConnection
from tests.soak_consensus import STEP_S, LogLimits, Member, Simulation

__all__ = ["LossSimulation", "new_group", "run_for", "run_seed"]

# Time after which a host that is back, or has replaced another one, no longer counts
# as lost. From then on another host may be lost.
CATCH_UP_S = 4.0
# Time within which the group must serve again once all hosts are back.
RECOVERY_S = 12.0
# Time at the end of the recovery in which the voters stay the same.
SETTLED_S = 2.0
LOSSES_PER_RUN = 8
MAX_DOWN_S = 3.0
RESTART_DELAY_S = 0.5
# Hosts that lost their power at one time are back within this time of each other, so
# that a leader is elected before it has heard from all members.
MAX_RESTART_SPREAD_S = 1.0
# Numbers of observers; the deployments have more of them than hosts with a disk.
OBSERVER_COUNTS = (0, 2, 4)
# Share of the runs in which the last loss before the final one replaces a host. The
# one that is gone stays a member until it has been silent for some time.
REPLACED_LAST_SHARE = 0.5
# Longest time that a control process takes to leave the group before it stops.
LEAVE_TIMEOUT_S = 3.0
SEEDS_PER_HOST = 3
# Share of the hosts that lose their power while a write isn't synced, and how long such
# a write is waited for.
WRITING_SHARE = 0.5
WRITE_WAIT_S = 0.3
KINDS = (
    "replace replace replace_planned replace_planned replace_unplanned "
    "replace_unplanned replace_during_loss replace_during_loss restart_planned wipe "
    "wipe power kill_leader cut power_all halves disk_full disk_full"
).split()
# Longest time in which a change is acknowledged (`Bounds.AckMs` on the platform).
ACKNOWLEDGEMENT_TIMEOUT_S = 4.0
# How long, and how often, a host without a process is tried by the others.
REFUSAL_TIME_S = 2.0
# Share of the successors that are in the data centre of the host that they replace.
SAME_DATA_CENTRE_SHARE = 0.8
REFUSAL_INTERVAL_STEPS = 5


def new_group(
    seed: int = 1, size: int = 3, limits: LogLimits | None = None
) -> "LossSimulation":
    """Return a group of `size` members that has elected a leader, without faults."""
    simulation = next(
        simulation
        for simulation in (
            LossSimulation(n, frozenset(), limits) for n in range(seed, seed + 50)
        )
        if len(simulation.hosts) == size
    )
    simulation.loss = 0.0
    run_for(simulation, 4.0)
    return simulation


def run_for(simulation: Simulation, duration_s: float) -> None:
    for _ in range(round(duration_s / STEP_S)):
        simulation.step()


class LossSimulation(Simulation):
    """A control group whose hosts are lost and replaced, one after the other."""

    def __init__(
        self,
        seed: int,
        disabled_guards: frozenset[str],
        limits: LogLimits | None = None,
    ) -> None:
        self.refusing_until_s: dict[str, float] = {}
        self.data_centres: dict[str, str] = {}
        self.data_centre_count = random.Random(seed).choice((3, 5))
        super().__init__(seed, disabled_guards, limits)
        self.counted = list(self.hosts)
        self.lost_until_s: dict[str, float] = {}
        self.successors = 0
        self.steps = 0
        self.log: list[str] = []
        self.last_ran_s: dict[str, float] = {}
        self.seen_voters: dict[str, frozenset[str]] = {}

    def known_tolerance(self) -> int:
        return (len(self.hosts) - 1) // 2

    def deployment_of(self, host: str) -> dict[str, object]:
        # The first hosts have a data centre each, or share three of them.
        if host not in self.data_centres:
            count = len(self.data_centres)
            self.data_centres[host] = f"z{count % self.data_centre_count}"
        return {"data_centre": self.data_centres[host], "is_added": self.now_s > 0.0}

    @property
    def tolerance(self) -> int:
        """Number of counted hosts that may be lost at a time."""
        return (len(self.counted) - 1) // 2

    def lost_hosts(self) -> set[str]:
        return {h for h, until_s in self.lost_until_s.items() if self.now_s < until_s}

    def membership_of(self, host: str):
        return self.members[host].driver.node.log.membership()

    def voters(self) -> set[str]:
        """Return the hosts of the leader's voters."""
        (leader,) = self.leaders()
        return {host_name(voter) for voter in self.membership_of(leader).voters}

    def add_host(self, host: str, seeds: tuple[str, ...], *, observer=False) -> None:
        """Start an empty host that knows only `seeds`, and that nobody knows."""
        member = self.members[host] = Member(host)
        prefix = OBSERVER_PREFIX if observer else ""
        disk_id = f"{prefix}{self.rng.getrandbits(64):016x}"
        store = LogStore(member.folder, disk_id)
        member.driver = RaftDriver(
            host,
            store,
            store.open(),
            random.Random(self.rng.getrandbits(64)),
            self.now_s,
            tuple(sorted({host, *seeds})),
            may_bootstrap=False,
            max_entries=self.limits.max_entries_per_message,
            tolerated_losses=self.tolerated_losses,
            **self.deployment_of(host),
        )
        self.hosts = (*self.hosts, host)

    def add_successor(self, replaced: str = "", data_centre: str = "") -> str:
        """
        Start a counted host in place of another; return its name.

        Most are in the data centre of the host that they replace.
        """
        self.successors += 1
        host = f"d{self.successors}"
        neighbour = replaced
        if not replaced or self.rng.random() > SAME_DATA_CENTRE_SHARE:
            neighbour = self.rng.choice(self.counted)
        self.data_centres[host] = data_centre or self.data_centres[neighbour]
        running = [h for h in self.hosts if self.members[h].driver]
        seeds = self.rng.sample(running, min(SEEDS_PER_HOST, len(running)))
        self.add_host(host, tuple(seeds))
        self.counted.append(host)
        self.lost_until_s[host] = self.now_s + CATCH_UP_S
        self.note(f"{host} starts in {self.data_centres[host]}, seeds {seeds}")
        return host

    def restart(self, host: str) -> None:
        self.start(host)
        self.lost_until_s[host] = self.now_s + CATCH_UP_S
        self.note(f"{host} is back")

    def note(self, text: str) -> None:
        self.log.append(f"{self.now_s:.2f} {text}")

    def leave(self, host: str) -> None:
        """Stop a process as SIGTERM does."""
        self.note(f"{host} leaves")
        self.run(host, BeginLeave())
        until_s = self.now_s + LEAVE_TIMEOUT_S
        while self.now_s < until_s and self.is_leaving(host):
            self.step()
        self.stop(host)

    def is_leaving(self, host: str) -> bool:
        driver = self.members[host].driver
        return driver is not None and not driver.node.may_stop

    # Connections to hosts without a process

    def step(self) -> None:
        committed = self.invariants.last_committed
        super().step()
        self.check_new_voters(committed)
        self.steps += 1
        if self.steps % REFUSAL_INTERVAL_STEPS == 0:
            for host, until_s in self.refusing_until_s.items():
                if self.now_s < until_s:
                    self.refuse_connections(host)

    def refuse_connections(self, refusing: str) -> None:
        for host in self.hosts:
            if (host, refusing) not in self.blocked_links:
                self.run(host, HostRefusedConnection(refusing))

    def stop(self, host: str, *, loses_power: bool | None = None) -> None:
        if loses_power is None:
            loses_power = self.rng.random() < 0.5
        super().stop(host, loses_power=loses_power)
        if not loses_power:
            self.refusing_until_s[host] = self.now_s + REFUSAL_TIME_S

    # Losses

    def lose(self, kind: str) -> None:
        """Cause one loss, and wait for its end."""
        getattr(self, f"lose_by_{kind}")()
        self.faults[kind] += 1

    def draw_host(self) -> str:
        return self.rng.choice([h for h in self.counted if h not in self.lost_hosts()])

    def draw_down_s(self) -> float:
        return self.rng.uniform(0.2, MAX_DOWN_S)

    def lose_by_replace(self) -> None:
        host = self.draw_host()
        self.note(f"{host} is removed")
        self.counted.remove(host)
        self.lost_until_s[host] = float("inf")
        self.stop(host)
        run_for(self, self.rng.choice((0.1, 1.0, 3.0)))
        self.add_successor(host)
        self.lost_until_s[host] = self.now_s + CATCH_UP_S

    def lose_by_replace_planned(self) -> None:
        host = self.draw_host()
        successor = self.add_successor(host)
        run_for(self, self.rng.choice((0.5, 1.0, 2.0, CATCH_UP_S, CATCH_UP_S + 3.0)))
        self.leave_for_good(host, successor)

    def leave_for_good(self, host: str, successor: str) -> None:
        """Stop a host that does not come back; its successor counts in its place."""
        self.leave(host)
        self.counted.remove(host)
        self.lost_until_s[host] = self.lost_until_s[successor]

    def lose_by_replace_unplanned(self) -> None:
        """
        Replace a host that goes without a stop once its successor has joined.

        "A machine that is removed stops counting once its successor has had that time"
        (DEPLOY.md, Settings of a process): the next loss may come at once. Where the
        settings don't show which host is replaced, two hosts of four can't tell whether
        the others are gone or lead. The next loss then comes "right after it has
        acknowledged something" (SYSTEM.md, Disruptions).
        """
        host = self.draw_host()
        successor = self.add_successor(host)
        run_for(self, self.rng.uniform(CATCH_UP_S, CATCH_UP_S + 3.0))
        is_killed = self.rng.random() < 0.5
        self.note(f"{host} is gone, {'killed' if is_killed else 'without power'}")
        is_shown = self.is_shown(host, successor)
        self.stop(host, loses_power=not is_killed)
        self.counted.remove(host)
        if not is_shown:
            self.lost_until_s[host] = float("inf")
            self.wait_for_acknowledgement()
        self.lost_until_s[host] = self.now_s
        self.lost_until_s[successor] = self.now_s

    def lose_by_replace_during_loss(self) -> None:
        """
        Remove a replaced host while another host, or its successor, is lost.

        The other loss is the only one: "A machine that is removed stops counting once
        its successor has had that time" (DEPLOY.md, Settings of a process). Where the
        settings don't show which host is replaced, the host goes as planned, since the
        next loss then comes "right after it has acknowledged something" (SYSTEM.md,
        Disruptions; see `lose_by_replace_unplanned`).
        """
        host = self.draw_host()
        successor = self.add_successor(host)
        run_for(self, self.rng.uniform(CATCH_UP_S, CATCH_UP_S + 3.0))
        if not self.is_shown(host, successor):
            self.leave_for_good(host, successor)
            return
        wiped = self.rng.choice(([], [successor], [self.draw_host()]))
        wiped = [h for h in wiped if h != host]
        dark = wiped
        if not wiped or self.rng.random() < 0.5:
            dark = [h for h in self.hosts if self.members[h].driver]
        self.note(f"{dark} lose power, {wiped} their disks")
        for other in dark:
            self.lost_until_s[other] = float("inf")
            self.stop_losing_observer_state(other)
            if other in wiped:
                self.members[other].folder.lose()
        run_for(self, self.draw_down_s())
        if host in dark:
            self.restart_all_of(dark)
            run_for(self, self.rng.uniform(0.0, 2.0))
            dark = []
        self.note(f"{host} is gone")
        self.counted.remove(host)
        self.stop(host)
        self.restart_all_of(dark)

    def is_shown(self, host: str, successor: str) -> bool:
        """Return whether the settings show which host a successor replaces."""
        neighbours = [
            other
            for other in self.counted
            if self.data_centres[other] == self.data_centres[successor]
        ]
        return neighbours == [host, successor]

    def wait_for_acknowledgement(self) -> None:
        """Wait until an entry is committed that was appended after the call."""
        appended = max(
            member.driver.node.log.last_index
            for member in self.members.values()
            if member.driver
        )
        until_s = self.now_s + ACKNOWLEDGEMENT_TIMEOUT_S
        while self.invariants.last_committed <= appended:
            assert self.now_s < until_s, "a change is not acknowledged in time"
            self.step()

    def lose_by_restart_planned(self) -> None:
        host = self.draw_host()
        self.leave(host)
        self.lost_until_s[host] = float("inf")
        run_for(self, self.draw_down_s())
        self.restart(host)

    def lose_by_wipe(self) -> None:
        host = self.draw_host()
        self.note(f"{host} loses its disk")
        self.lost_until_s[host] = float("inf")
        self.stop(host)
        self.members[host].folder.lose()
        run_for(self, self.draw_down_s())
        self.restart(host)

    def lose_by_power(self) -> None:
        self.power_off([self.draw_host()])

    def lose_by_kill_leader(self) -> None:
        self.power_off(
            [h for h in self.leaders() if h not in self.lost_hosts()][:1], down_s=0.5
        )

    def lose_by_cut(self) -> None:
        host = self.draw_host()
        self.note(f"{host} is cut off")
        self.lost_until_s[host] = float("inf")
        self.split({host})
        run_for(self, self.rng.uniform(1.0, 6.0))
        self.heal()
        self.lost_until_s[host] = self.now_s + CATCH_UP_S

    def lose_by_power_all(self) -> None:
        self.power_off([h for h in self.hosts if self.members[h].driver])

    def lose_by_halves(self) -> None:
        self.note("the counted hosts are split")
        count = len(self.counted) // 2
        self.split(set(self.rng.sample(self.counted, count)))
        run_for(self, self.rng.uniform(1.0, 6.0))
        self.heal()
        for host in self.counted:
            self.lost_until_s[host] = self.now_s + CATCH_UP_S

    def lose_by_disk_full(self) -> None:
        host = self.draw_host()
        self.note(f"the disk of {host} is full")
        self.lost_until_s[host] = float("inf")
        self.members[host].folder.is_full = True
        full_until_s = self.now_s + self.draw_down_s()
        while self.now_s < full_until_s:
            if self.members[host].driver is None:
                self.start(host)
            run_for(self, RESTART_DELAY_S)
        self.members[host].folder.is_full = False
        if self.members[host].driver is None:
            self.start(host)
        self.lost_until_s[host] = self.now_s + CATCH_UP_S

    def run(self, host, *events):
        """End the process if it can't write, as the real one does."""
        try:
            return super().run(host, *events)
        except OSError:
            self.stop(host)
            return []

    def power_off(self, hosts: list[str], down_s: float | None = None) -> None:
        self.note(f"{hosts} lose power")
        for host in hosts:
            self.lost_until_s[host] = float("inf")
        self.lose_power_while_writing(hosts)
        run_for(self, self.draw_down_s() if down_s is None else down_s)
        self.restart_all_of(hosts)

    def restart_all_of(self, hosts: list[str]) -> None:
        """Restart hosts in a random order, half of the times one after the other."""
        spread_s = self.rng.choice((0.0, self.rng.uniform(0.0, MAX_RESTART_SPREAD_S)))
        for host in self.rng.sample(hosts, len(hosts)):
            self.restart(host)
            run_for(self, spread_s / len(hosts))

    def lose_power_while_writing(self, hosts: list[str]) -> None:
        """
        Cut the power of hosts at one time, some of them at their next writes.

        Every other loss of power finds all writes synced, as a step of the simulation
        ends with a sync.
        """
        for host in hosts:
            if self.rng.random() < WRITING_SHARE:
                self.members[host].folder.operations_left = self.rng.randrange(2)
        run_for(self, WRITE_WAIT_S)
        for host in hosts:
            self.stop_losing_observer_state(host)

    def stop_losing_observer_state(self, host: str) -> None:
        was_observer = host.startswith("o")
        self.stop(host, loses_power=True)
        if was_observer:
            self.members[host].folder.lose()

    def start(self, host: str) -> None:
        self.refusing_until_s.pop(host, None)
        # An observer gets another observer id; other hosts keep what is on their disk.
        if host.startswith("o"):
            self.hosts = tuple(h for h in self.hosts if h != host)
            self.add_host(host, tuple(self.counted[:SEEDS_PER_HOST]), observer=True)
            return
        try:
            super().start(host)
        except OSError:
            self.stop(host)

    # Checks

    def check_new_voters(self, committed: int) -> None:
        """Check that a leader makes only members voters that run and have the log."""
        for member in self.members.values():
            if member.driver:
                self.last_ran_s[member.driver.node.name] = self.now_s
        if not self.leaders():
            return
        leader = max(self.leaders(), key=lambda h: self.members[h].driver.node.term)
        node = self.members[leader].driver.node
        voters = frozenset(node.log.membership().voters)
        for voter in voters - self.seen_voters.get(leader, voters):
            ran_s = self.last_ran_s.get(voter, 0.0)
            assert self.now_s - ran_s <= ELECTION_TIMEOUT_RANGE_S[0] + STEP_S, (
                f"{self.now_s:.2f}: {voter}, which is gone, is made a voter"
            )
            driver = self.members[host_name(voter)].driver
            if driver and driver.node.name == voter:
                assert driver.node.log.last_index >= committed, (
                    f"{self.now_s:.2f}: {voter}, which lacks entries, is made a voter"
                )
        self.seen_voters = {leader: voters}

    def check_tolerance(self) -> None:
        """Check that any further permitted loss of disks leaves a quorum."""
        budget = self.tolerance - len(self.lost_hosts())
        if budget <= 0 or not self.leaders():
            return
        leader = max(self.leaders(), key=lambda h: self.members[h].driver.node.term)
        voters = self.membership_of(leader).voters
        alive = [
            v
            for v in voters
            if self.members[host_name(v)].driver
            and self.members[host_name(v)].driver.node.name == v
        ]
        for gone in combinations(self.counted, budget):
            left = [v for v in alive if host_name(v) not in gone]
            assert len(left) >= quorum_size(len(voters)), (
                f"{self.now_s:.2f}: the loss of {gone} would leave {left} of {voters}"
            )

    def check_serves(self) -> None:
        """Check that within `RECOVERY_S` a leader commits again and the voters stay."""
        before = self.invariants.last_committed
        run_for(self, RECOVERY_S - SETTLED_S)
        memberships = {self.membership_of(host).voters for host in self.leaders()}
        run_for(self, SETTLED_S)
        assert self.leaders(), "no leader after all hosts were back"
        assert self.invariants.last_committed > before, "no progress"
        memberships |= {self.membership_of(host).voters for host in self.leaders()}
        assert len(memberships) == 1, f"the voters change: {memberships}"

    def lose_finally(self) -> None:
        """Destroy as many disks as tolerated while all other hosts lose power."""
        hosts = [h for h in self.hosts if self.members[h].driver]
        wiped = self.rng.sample(self.counted, self.tolerance)
        self.note(f"final: {wiped} lose their disks, {hosts} lose power")
        self.lose_power_while_writing(hosts)
        for host in wiped:
            self.members[host].folder.lose()
        run_for(self, 1.3)
        self.restart_all_of(hosts)


def run_seed(seed: int) -> Counter[str]:
    """Run one seed; raise `AssertionError` if the group does not recover."""
    rng = random.Random(seed)
    simulation = new_group(seed, rng.choice((3, 3, 5)))
    try:
        for _ in range(rng.choice((0, 1))):
            simulation.add_successor()
        for number in range(rng.choice(OBSERVER_COUNTS)):
            seeds = tuple(simulation.counted[:SEEDS_PER_HOST])
            simulation.add_host(f"o{number}", seeds, observer=True)
        run_for(simulation, CATCH_UP_S + 0.1)
        for _ in range(LOSSES_PER_RUN):
            simulation.lose(rng.choice(KINDS))
            while len(simulation.lost_hosts()) >= simulation.tolerance:
                simulation.step()
            simulation.check_tolerance()
            if rng.random() < 0.3:
                run_for(simulation, rng.uniform(0.0, 10.0))
        if rng.random() < REPLACED_LAST_SHARE:
            simulation.lose("replace")
        while simulation.lost_hosts():
            simulation.step()
        simulation.lose_finally()
        simulation.check_serves()
    except AssertionError as error:
        raise AssertionError(f"{error}; {simulation.log}") from error
    return simulation.faults


def main(seeds: int = 100, first: int = 0) -> None:
    """Run `seeds` seeds from `first` on; print those that violate an invariant."""
    faults: Counter[str] = Counter()
    failed = 0
    for seed in range(first, first + seeds):
        try:
            faults += run_seed(seed)
        except AssertionError as error:
            failed += 1
            print(f"seed {seed}: {error}")
    print(f"{seeds} seeds, {failed} failed, losses: {dict(faults)}")
    sys.exit(bool(failed))


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
