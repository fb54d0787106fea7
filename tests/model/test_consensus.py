"""Guards against messages that the build before or after can't read."""

import msgspec

from damaskridge.model.consensus import (
    AnyMessage,
    AppendReply,
    JoinRequest,
    Membership,
    Message,
)


class EarlierAppendReply(Message, frozen=True, kw_only=True, tag="AppendReply"):
    """The reply as builds before `is_leaving` and `data_centre` know it."""

    accepted: bool
    match_index: int
    round: int


class EarlierMembership(msgspec.Struct, frozen=True):
    """The members as builds before `successors` know them."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()


class EarlierJoinRequest(Message, frozen=True, kw_only=True, tag="JoinRequest"):
    """The request as builds before `is_added` know it."""

    seen: tuple[str, ...] = ()
    is_forwarded: bool = False


FIELDS = {"sender": "a#1", "term": 2, "accepted": True, "match_index": 3, "round": 4}


def test_earlier_builds_read_the_reply_of_a_member_that_is_about_to_stop():
    data = msgspec.msgpack.encode(
        AppendReply(**FIELDS, is_leaving=True, data_centre="z")
    )
    read = msgspec.msgpack.decode(data, type=EarlierAppendReply)
    assert read == EarlierAppendReply(**FIELDS)


def test_reply_of_an_earlier_build_is_read():
    data = msgspec.msgpack.encode(EarlierAppendReply(**FIELDS))
    assert msgspec.msgpack.decode(data, type=AnyMessage) == AppendReply(**FIELDS)


def test_earlier_builds_read_members_with_successors():
    data = msgspec.msgpack.encode(Membership(("a#1",), ("b#1",), ("b#1",)))
    read = msgspec.msgpack.decode(data, type=EarlierMembership)
    assert read == EarlierMembership(("a#1",), ("b#1",))


def test_members_of_an_earlier_build_are_read():
    data = msgspec.msgpack.encode(EarlierMembership(("a#1",), ("b#1",)))
    assert msgspec.msgpack.decode(data, type=Membership) == Membership(
        ("a#1",), ("b#1",)
    )


def test_join_requests_are_read_by_the_build_before_and_after():
    request = JoinRequest(sender="d#1", term=1, seen=("a#1",), is_added=True)
    earlier = EarlierJoinRequest(sender="d#1", term=1, seen=("a#1",))
    data = msgspec.msgpack.encode(request)
    assert msgspec.msgpack.decode(data, type=EarlierJoinRequest) == earlier
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(earlier), type=AnyMessage)
    assert read == JoinRequest(sender="d#1", term=1, seen=("a#1",))
