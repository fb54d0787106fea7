"""Software versions of backend servers, and the versions at which streams began."""

import msgspec

__all__ = ["OriginDecided", "OriginWanted", "ServiceVersions", "StreamOrigin"]


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """
    The software version at which a stream began.

    Parameters
    ----------
    attempt_id : str
        The caller's attempt that brought the first event.
    service : str
        Service that ran the stream.
    software_version : str
        Version of the instance that made the first event.
    """

    attempt_id: str
    service: str
    software_version: str


class ServiceVersions(msgspec.Struct, frozen=True, array_like=True):
    """
    The software versions at which streams of a service may have begun.

    Parameters
    ----------
    service : str
        Name of the service.
    versions : tuple of str
        Versions that serve, or have served while a stream could still be taken up.
    """

    service: str
    versions: tuple[str, ...]


class OriginWanted(msgspec.Struct, frozen=True, array_like=True):
    """
    Asks for the software version at which a stream began.

    Parameters
    ----------
    sequence : int
        Number of this question on its host; `OriginDecided` returns it.
    attempt_id : str
        The caller's attempt that brought the first event; empty if it is not known.
    service : str
        Service of the stream.
    """

    sequence: int
    attempt_id: str
    service: str


class OriginDecided(msgspec.Struct, frozen=True, array_like=True):
    """
    The answer to `OriginWanted`.

    Parameters
    ----------
    sequence : int
        Number of the question.
    software_version : str or None
        The version; None if several are possible.
    """

    sequence: int
    software_version: str | None
