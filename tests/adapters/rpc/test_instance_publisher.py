"""Guards against hosts that find out one by one that a server leaves."""

import anyio
from result import Ok
from tests.paused import run_paused

from damaskridge.adapters.rpc.followers import FollowerSet
from damaskridge.adapters.rpc.instance_publisher import InstancePublisher
from damaskridge.core.gateway.instance_replication import InstanceListReplica
from damaskridge.core.state.commands import ControlState
from damaskridge.model.control import InstancesSeen
from damaskridge.model.gateway import BackendInstance, InstanceList, ServerStart


def server(started_ms):
    return BackendInstance(
        instance="a",
        service="s",
        address="a",
        data_centre="west",
        slots=4,
        started_ms=started_ms,
    )


class Reader:
    """A list whose only entry is always ready."""

    def __init__(self):
        self.started_ms = 1

    async def read(self):
        return Ok(InstanceList(instances=(server(self.started_ms),)))


class Hosts(FollowerSet):
    """Applies what is sent to one copy."""

    def __init__(self):
        super().__init__(ControlState())
        self.copy = InstanceListReplica()

    def notify(self, message):
        assert isinstance(message, InstancesSeen)
        assert self.copy.apply(message, 0.0)


def test_what_one_host_reports_as_leaving_is_leaving_for_all_until_it_starts_anew():
    async def main():
        hosts, reader = Hosts(), Reader()
        publisher = InstancePublisher(reader, hosts, lambda: True)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(publisher.run)
            await anyio.sleep(1)
            assert not hosts.copy.items[0].is_leaving
            publisher.notices.add(ServerStart("a", 1))
            await anyio.sleep(2)
            assert hosts.copy.items[0].is_leaving
            reader.started_ms = 2
            await anyio.sleep(2)
            assert not hosts.copy.items[0].is_leaving
            tasks.cancel_scope.cancel()

    run_paused(main())
