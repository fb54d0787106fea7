"""A permit is used once, and not after it has expired."""

from damaskridge.core.gateway.held_permits import RECENT_S, HeldPermits, RecentSends
from damaskridge.model.gateway import InstanceId

SERVER, OTHER = InstanceId("a"), InstanceId("b")


def test_permit_is_used_once_and_for_one_server():
    permits = HeldPermits()
    permits.add(SERVER, until_s=5.0)
    permits.add(SERVER, until_s=5.0)
    assert not permits.use(OTHER, 0.0)
    assert [permits.use(SERVER, 0.0) for _ in range(3)] == [True, True, False]


def test_process_that_was_suspended_uses_no_expired_permit():
    permits = HeldPermits()
    permits.add(SERVER, until_s=5.0)
    assert not permits.use(SERVER, 5.0)


def test_permit_that_expires_first_is_used_first():
    permits = HeldPermits()
    permits.add(SERVER, until_s=9.0)
    permits.add(SERVER, until_s=2.0)
    assert permits.use(SERVER, 1.0)
    assert permits.use(SERVER, 8.0)


def test_only_recent_sends_are_counted():
    sends = RecentSends()
    for sent_s in (0.0, 0.5, 1.2):
        sends.record(SERVER, sent_s)
    assert sends.count(SERVER, 1.2) == 2
    assert sends.count(SERVER, 1.2 + RECENT_S) == 0
    assert sends.count(OTHER, 1.2) == 0
    sends.forget(SERVER)
    assert sends.count(SERVER, 1.2) == 0
