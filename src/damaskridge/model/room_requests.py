"""Questions of hosts to the leader for room on the engines of a crowded service."""

from enum import Enum

import msgspec

__all__ = ["RoomAnswer", "RoomDecided", "RoomWanted"]


class RoomAnswer(Enum):
    """What the leader says to a request for room."""

    ASSIGNED = "assigned"
    # The decision follows.
    WAITING = "waiting"
    REFUSED = "refused"
    # This control host doesn't lead any more.
    UNDECIDED = "undecided"


class RoomWanted(msgspec.Struct, frozen=True, array_like=True):
    """
    Requests room for one generation on a decode engine.

    Parameters
    ----------
    sequence : int
        Number of this message on its host; `RoomDecided` returns it.
    service : str
        Name of the service.
    tokens : int
        Memory that the generation is expected to need, in tokens.
    level : int
        How many priorities of the service are more urgent; -1 for a stream that has
        begun.
    wait_s : float
        For how long the generation can wait, in seconds.
    software_version : str
        Version at which the stream has to go on; empty for any.
    excluded : tuple of str
        Engines that the host doesn't use for this generation.
    """

    sequence: int
    service: str
    tokens: int
    level: int
    wait_s: float
    software_version: str = ""
    excluded: tuple[str, ...] = ()


class RoomDecided(msgspec.Struct, frozen=True, array_like=True):
    """
    The answer to `RoomWanted`.

    Parameters
    ----------
    sequence : int
        Number of the message that it answers.
    answer : RoomAnswer
        What is decided, or that the decision follows.
    instance : str
        The engine that is assigned.
    """

    sequence: int
    answer: RoomAnswer
    instance: str = ""
