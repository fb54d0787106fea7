"""Deltas kept for reconnecting hosts must not hide a state that was restored."""

import anyio
from tests.core.state.fleet import Fleet

from damaskridge.adapters.rpc.subscribers import QUEUED_MESSAGES, Follower, FollowerSet
from damaskridge.model.control import FleetSnapshot


def first_message(fleet, followers, index):
    follower = Follower(lambda: None)
    followers.add(follower, index)
    return follower.messages.receive_nowait()


def test_kept_deltas_serve_a_small_gap_until_the_state_is_restored():
    async def main():
        fleet, newer = Fleet("h1"), Fleet("h1", "h2")
        followers = FollowerSet(fleet.state)
        for delta in fleet.deltas:
            followers.publish(delta)
        last = fleet.deltas[-1]
        assert first_message(fleet, followers, last.base_index) == last
        assert isinstance(first_message(fleet, followers, -1), FleetSnapshot)
        fleet.state.restore(newer.state.encode())
        reply = first_message(fleet, followers, last.base_index)
        assert isinstance(reply, FleetSnapshot) and reply.index == newer.index

    anyio.run(main)


def test_a_follower_that_does_not_read_is_ended():
    async def main():
        fleet, ended = Fleet("h1"), []
        followers = FollowerSet(fleet.state)
        followers.add(Follower(lambda: ended.append(True)), fleet.index)
        for _ in range(QUEUED_MESSAGES):
            followers.publish(fleet.deltas[-1])
        assert not ended
        followers.publish(fleet.deltas[-1])
        assert ended

    anyio.run(main)
