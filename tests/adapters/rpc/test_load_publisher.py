"""Guards against a new leader that sends all callers to a few hosts."""

import anyio
from tests.paused import run_paused

from damaskridge.adapters.rpc.followers import Follower, FollowerSet
from damaskridge.adapters.rpc.load_publisher import DEMAND_WARM_UP_S, LoadPublisher
from damaskridge.core.gateway.host_selection import GENERATIONS_PER_HOST
from damaskridge.core.state.commands import ControlState
from damaskridge.model.control import CrashesSeen, HostsNeeded, InstanceLoad, ReportLoad
from damaskridge.model.gateway import CrashNotice, ServerStart

NEEDED = 9
REPORT = ReportLoad(
    load={"a": InstanceLoad(NEEDED * GENERATIONS_PER_HOST, memory_tokens=1)}
)


class Play:
    """A publisher with one host, whose leadership the test decides."""

    def __init__(self):
        self.leads = False
        self.followers = FollowerSet(ControlState())
        self.publisher = LoadPublisher(
            self.followers, lambda: self.leads, lambda host: "west"
        )

    def connect(self):
        follower = Follower(lambda: None)
        self.followers.add(follower, 0)
        self.publisher.join(follower, "h")
        return follower


def received(follower, kind):
    found = []
    while True:
        try:
            message = follower.messages.receive_nowait()
        except anyio.WouldBlock:
            return found
        if isinstance(message, kind):
            found.append(message)


def test_a_new_leader_says_how_many_hosts_are_needed_once_they_have_reported():
    async def main():
        play = Play()
        first = play.connect()
        play.publisher.report(first, ReportLoad())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(play.publisher.run)
            await anyio.sleep(10)
            assert not received(first, HostsNeeded)
            play.leads = True
            await anyio.sleep(DEMAND_WARM_UP_S / 2)
            assert not received(first, HostsNeeded)
            play.publisher.report(first, REPORT)
            await anyio.sleep(DEMAND_WARM_UP_S)
            said = received(first, HostsNeeded)
            assert [item.by_data_centre for item in said] == [{"west": NEEDED}]
            # A host that connects later is told at once.
            later = play.connect()
            assert received(later, HostsNeeded) == said
            tasks.cancel_scope.cancel()

    run_paused(main())


def test_crashes_are_told_to_all_hosts_and_to_those_that_connect_later():
    async def main():
        play = Play()
        first, second = play.connect(), play.connect()
        notice = CrashNotice("f", ServerStart("a", 1))
        play.publisher.report(first, ReportLoad(crashes=(notice,)))
        for follower in (second, play.connect()):
            (seen,) = received(follower, CrashesSeen)
            assert seen.crashes == (notice,)

    run_paused(main())
