"""Limits of requests that instances name, and the permits to send requests to them."""

import msgspec

from damaskridge.model.gateway import InstanceId

__all__ = ["SendsCharged", "SendsDecided", "SendsWanted", "ServerLimit"]


class ServerLimit(msgspec.Struct, frozen=True, array_like=True):
    """
    The limit of requests that an instance has named for all hosts together.

    Parameters
    ----------
    server : InstanceId
        The instance; after a restart it has no limit until it names one.
    per_s : float or None
        Requests per second; None if the limit has ended.
    """

    server: InstanceId
    per_s: float | None


class SendsWanted(msgspec.Struct, frozen=True, array_like=True):
    """
    Requests permits to send requests to an instance with a limit.

    Parameters
    ----------
    sequence : int
        Number of this message on its host; `SendsDecided` returns it.
    server : InstanceId
        The instance.
    sends : int
        Number of requests.
    """

    sequence: int
    server: InstanceId
    sends: int


class SendsDecided(msgspec.Struct, frozen=True, array_like=True):
    """
    The decision on `SendsWanted`.

    Parameters
    ----------
    sequence : int
        Number of the message that it answers.
    wait_s : float
        0 if all requests may be sent, else the time until they may be permitted.
    """

    sequence: int
    wait_s: float


class SendsCharged(msgspec.Struct, frozen=True, array_like=True):
    """Requests that a host has sent to an instance before it knew of its limit."""

    server: InstanceId
    sends: int
