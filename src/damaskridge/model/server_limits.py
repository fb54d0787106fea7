"""Limits of requests that instances name, and the permits to send requests to them."""

import msgspec

from damaskridge.model.gateway import InstanceId

__all__ = [
    "LIMIT_WINDOW_S",
    "PermitGroup",
    "SendsCharged",
    "SendDecided",
    "SendWanted",
    "ServerLimit",
]

# The window over which servers count requests against their limits.
LIMIT_WINDOW_S = 4.0


class ServerLimit(msgspec.Struct, frozen=True, array_like=True):
    """
    The limit of requests to an instance, for all hosts together.

    Parameters
    ----------
    server : InstanceId
        The instance; after a restart it has no limit until it names one.
    per_s : float or None
        Requests per second; None if the limit that the instance has named has ended.
    cold_for_s : float
        For a limit because the instance is cold, the time after which it ends, in
        seconds; 0 for a limit that the instance has named. An instance may have both.
    """

    server: InstanceId
    per_s: float | None
    cold_for_s: float = 0.0

    @property
    def is_cold(self) -> bool:
        """Whether the limit holds because the instance is cold."""
        return self.cold_for_s > 0


class PermitGroup(msgspec.Struct, frozen=True, array_like=True):
    """
    Requests that have one share of the permits of an instance.

    Parameters
    ----------
    workspace : str
        Workspace of the requests; empty on public routes.
    priority : int
        Their priority; 0 is the most urgent.
    """

    workspace: str
    priority: int


class SendWanted(msgspec.Struct, frozen=True, array_like=True):
    """
    Requests a permit to send one request to an instance with a limit.

    Parameters
    ----------
    sequence : int
        Number of this message on its host; `SendDecided` returns it.
    server : InstanceId
        The instance.
    group : PermitGroup
        The group that the request belongs to.
    """

    sequence: int
    server: InstanceId
    group: PermitGroup


class SendDecided(msgspec.Struct, frozen=True, array_like=True):
    """
    The decision on `SendWanted`.

    Parameters
    ----------
    sequence : int
        Number of the message that it answers.
    wait_s : float
        0 if the request may be sent, else the time until it may be permitted.
    """

    sequence: int
    wait_s: float


class SendsCharged(msgspec.Struct, frozen=True, array_like=True):
    """
    Requests of a host to an instance with a limit, which the leader may not know of.

    Parameters
    ----------
    server : InstanceId
        The instance.
    sends : int
        Number of requests.
    age_s : float
        Time since they were sent.
    """

    server: InstanceId
    sends: int
    age_s: float = 0.0
