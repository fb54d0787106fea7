"""Tests that a control group forms, fails over and readmits a host with a new disk."""

import random
import socket

import anyio
import msgspec
import pytest
from grpclib.server import Server
from tests.fault_soak.proxy import FaultProxy
from tests.memory_folder import MemoryFolder

from damaskridge.adapters import control_node
from damaskridge.adapters.codec import MsgpackCodec
from damaskridge.adapters.control_node import ControlNode
from damaskridge.adapters.disk.records import encode_record
from damaskridge.adapters.disk.store import LogStore, UnreadableRecord
from damaskridge.adapters.rpc.control_ports import AppliedCommand
from damaskridge.core.consensus import leader_absence
from damaskridge.core.consensus.membership_changes import VOTER_DEMOTION_TIMEOUT_S
from damaskridge.core.consensus.messages import Event, HostRefusedConnection
from damaskridge.model.control import AdvanceTime, CommandResult, KeyWithdrawn
from damaskridge.model.errors import ErrorKind
from damaskridge.model.events import EventNumber
from damaskridge.model.follow import FleetDelta


class FakeState:
    """Records the ids and timestamps of the applied commands."""

    def __init__(self) -> None:
        self.applied: list[tuple[str, int]] = []

    def apply(self, index, command) -> AppliedCommand:
        self.applied.append((command.command_id, command.at_ms))
        change = KeyWithdrawn(key_digest=command.command_id)
        delta = FleetDelta(base_index=index - 1, index=index, changes=(change,))
        return AppliedCommand(CommandResult(index=index), delta)

    def encode(self) -> bytes:
        return msgspec.msgpack.encode(self.applied)

    def restore(self, data: bytes) -> None:
        self.applied = [tuple(x) for x in msgspec.msgpack.decode(data)]


class ControlHost:
    """One control host whose process can be started and stopped."""

    def __init__(self, name: str, members: dict[str, str], clock: list[int]) -> None:
        self.name, self.members, self.clock = name, members, clock
        self.folder = MemoryFolder()

    async def start(self, tasks) -> None:
        self.state = FakeState()
        self.node = ControlNode(
            self.name, self.members, self.folder, self.state,
            random.Random(self.name), wall_ms=lambda: self.clock[0],
        )  # fmt: skip
        self.server = Server([self.node.service()], codec=MsgpackCodec())
        ip, port = self.members[self.name].split(":")
        await self.server.start(ip, int(port))
        tasks.start_soon(self.node.run)

    async def stop(self) -> None:
        await self.node.stop()
        self.server.close()
        await self.server.wait_closed()


def free_addresses(names: list[str]) -> dict[str, str]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in names]
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return {n: f"127.0.0.1:{p}" for n, p in zip(names, ports, strict=True)}


async def wait_for_leader(hosts: list[ControlHost]) -> ControlHost:
    with anyio.fail_after(30):
        while True:
            for host in hosts:
                if host.node.is_leader and await host.node.confirm_leadership():
                    return host
            await anyio.sleep(0.02)


async def wait_until(condition) -> None:
    with anyio.fail_after(30):
        while not condition():  # noqa: ASYNC110
            await anyio.sleep(0.02)


async def propose_to_leader(hosts: list[ControlHost], command_id: str) -> CommandResult:
    with anyio.fail_after(30):
        while True:
            leader = await wait_for_leader(hosts)
            command = AdvanceTime(command_id=command_id)
            result = await leader.node.propose(command)
            if result.failure is None:
                return result


async def run_fail_over() -> None:
    members, clock = free_addresses(["c0", "c1", "c2"]), [1000]
    hosts = [ControlHost(name, members, clock) for name in members]
    async with anyio.create_task_group() as tasks:
        for host in hosts:
            await host.start(tasks)
        leader = await wait_for_leader(hosts)
        deltas = leader.node.applied_deltas()
        await propose_to_leader(hosts, "first")
        assert (await anext(deltas)).changes[0].key_digest == "first"
        follower = next(h for h in hosts if h is not leader)
        await wait_until(lambda: follower.state.applied)
        refused = await follower.node.propose(AdvanceTime(command_id="x"))
        assert refused.failure.kind is ErrorKind.NOT_LEADER
        assert refused.failure.leader == members[leader.name]

        await leader.stop()
        clock[0] = 500  # timestamps must not decrease, even if the wall clock does
        remaining = [h for h in hosts if h is not leader]
        await propose_to_leader(remaining, "second")
        leader.folder.lose()
        await leader.start(tasks)
        await wait_until(lambda: all(len(h.state.applied) == 2 for h in hosts))
        assert leader.state.applied == [("first", 1000), ("second", 1000)]
        await wait_until(lambda: leader.node.member in leader.node.membership.voters)
        for host in hosts:
            await host.stop()


@pytest.mark.parametrize("compact_after", [2000, 1])
def test_group_fails_over_and_readmits_a_host_with_a_new_disk(
    monkeypatch, compact_after
):
    monkeypatch.setattr(control_node, "COMPACT_AFTER_ENTRIES", compact_after)
    anyio.run(run_fail_over)


async def run_proposal_without_quorum() -> None:
    members = free_addresses(["c0", "c1", "c2"])
    hosts = [ControlHost(name, members, [0]) for name in members]
    async with anyio.create_task_group() as tasks:
        for host in hosts:
            await host.start(tasks)
        leader = await wait_for_leader(hosts)
        for host in hosts:
            if host is not leader:
                host.node._scope.cancel()
        result = await leader.node.propose(AdvanceTime(command_id="lost"))
        assert result.failure.kind is ErrorKind.OUTCOME_UNKNOWN
        assert not await leader.node.confirm_leadership()
        for host in hosts:
            await host.stop()


def test_leader_without_quorum_reports_an_unknown_outcome():
    anyio.run(run_proposal_without_quorum)


async def run_stop_in_group_of_four(stops_leader: bool) -> None:
    members = free_addresses(["c0", "c1", "c2", "c3"])
    hosts = [ControlHost(name, members, [0]) for name in members]
    async with anyio.create_task_group() as tasks:
        for host in hosts:
            await host.start(tasks)
        await propose_to_leader(hosts, "first")
        leader = await wait_for_leader(hosts)
        leaver = next(h for h in hosts if (h is leader) is stops_leader)
        assert leaver.node.member in leader.node.membership.voters
        with anyio.fail_after(control_node.LEAVE_TIMEOUT_S - 1.0):
            await leaver.stop()
        remaining = [h for h in hosts if h is not leaver]
        leader = await wait_for_leader(remaining)
        assert leaver.node.member not in leader.node.membership.voters
        for host in remaining:
            await host.stop()


@pytest.mark.parametrize("stops_leader", [True, False])
def test_member_that_is_stopped_leaves_no_vote_that_the_group_can_spare(stops_leader):
    """Guards against a quorum that counts a stopped member of a group of four."""
    anyio.run(run_stop_in_group_of_four, stops_leader)


async def run_beside_a_closed_port(events: list[Event]) -> None:
    members = free_addresses(["c0", "c1"])
    host = ControlHost("c0", members, [0])
    async with anyio.create_task_group() as tasks:
        await host.start(tasks)
        run = host.node._driver.run
        host.node._driver.run = lambda batch, now_s: run(events_of(batch), now_s)

        def events_of(batch):
            events.extend(batch)
            return batch

        with anyio.move_on_after(VOTER_DEMOTION_TIMEOUT_S):
            while HostRefusedConnection("c1") not in events:  # noqa: ASYNC110
                await anyio.sleep(0.01)
        await host.stop()


def test_member_learns_at_once_that_a_host_refuses_connections():
    """Guards against the vote of a killed member that counts until it's silent."""
    events: list[Event] = []
    anyio.run(run_beside_a_closed_port, events)
    assert HostRefusedConnection("c1") in events


def test_record_of_a_newer_build_ends_the_start_with_an_event(caplog):
    """Guards against a host that goes on without the records it can't read."""

    async def main():
        folder = MemoryFolder()
        LogStore(folder, "9f").open()
        (segment,) = (name for name in folder.names() if name.startswith("log-"))
        folder.append(segment, encode_record(b"\x82\xa4type\xa1z\xa1x\x01"))
        folder.sync(segment)
        with pytest.raises(UnreadableRecord, match=segment):
            ControlNode("c0", {}, folder, FakeState(), random.Random(1))

    anyio.run(main)
    numbers = [record.event_number for record in caplog.records]
    assert numbers == [EventNumber.RECORD_UNREADABLE]


async def run_without_leader() -> None:
    members = free_addresses(["c0", "c1", "c2"])
    hosts = [ControlHost(name, members, [0]) for name in members]
    async with anyio.create_task_group() as tasks:
        for host in hosts:
            await host.start(tasks)
        await propose_to_leader(hosts, "first")
        for host in hosts[1:]:
            host.node._scope.cancel()
        await anyio.sleep(2.5)
        await hosts[0].stop()
        for host in hosts[1:]:
            await host.stop()


def test_host_without_leader_logs_the_voters_and_whom_it_reaches(caplog, monkeypatch):
    """Guards against a group without a leader whose logs don't tell why."""
    monkeypatch.setattr(leader_absence, "FIRST_REPORT_S", 1.0)
    caplog.set_level("WARNING")
    anyio.run(run_without_leader)
    reports = [
        record.event_fields
        for record in caplog.records
        if getattr(record, "event_number", 0) == EventNumber.LEADER_MISSING
    ]
    report = reports[-1]
    assert len(report["voters"]) == 3
    assert set(report["connected"]) <= {"c1", "c2"}
    assert report["heard"] == []
    assert report["absent_s"] >= 1.0


# Longest time in which a change is acknowledged (`Bounds.AckMs` on the platform).
ACKNOWLEDGEMENT_TIMEOUT_S = 4.0


@pytest.mark.parametrize("seed", range(4))
def test_change_is_acknowledged_after_open_connections_went_silent(seed):
    """Guards against members that wait for streams which are open but silent."""
    anyio.run(check_severed_connections, random.Random(seed))


async def check_severed_connections(rng: random.Random) -> None:
    clock, names = [1000], ["c0", "c1", "c2"]
    addresses = free_addresses(names)
    proxies = {}
    for name in names:
        ip, _, port = addresses[name].rpartition(":")
        proxies[name] = FaultProxy(lambda target=(ip, int(port)): target)
        await proxies[name].start()
    hosts = []
    for name in names:
        members = {other: proxies[other].address for other in names}
        hosts.append(ControlHost(name, members | {name: addresses[name]}, clock))
    async with anyio.create_task_group() as tasks:
        for host in hosts:
            await host.start(tasks)
        await propose_to_leader(hosts, "first")
        for number in range(3):
            await anyio.sleep(rng.uniform(0.0, 1.0))
            share = rng.choice((0.5, 0.7, 1.0))
            for proxy in proxies.values():
                proxy.sever(rng, share)
            with anyio.fail_after(ACKNOWLEDGEMENT_TIMEOUT_S):
                await propose_to_leader(hosts, f"change-{number}")
        for host in hosts:
            await host.stop()
        for proxy in proxies.values():
            await proxy.stop()
