"""Identifiers of requests, unique across hosts and restarts without coordination.

>>> request_id = RequestId("entry-1", 0x1F, 7)
>>> str(request_id)
'req-entry-1-1f-7'
>>> RequestId.parse("req-entry-1-1f-7") == request_id
True
>>> str(EngineRequestId(request_id, 2))
'req-entry-1-1f-7.2'
"""

import re
from dataclasses import dataclass

__all__ = ["EngineRequestId", "RequestId"]

_REQUEST_ID = re.compile(r"req-([a-z0-9][a-z0-9-]*)-([0-9a-f]{1,16})-([0-9a-f]{1,16})")


@dataclass(frozen=True, slots=True)
class RequestId:
    """
    Identifies one request of a caller.

    Parameters
    ----------
    host : str
        Name of the entry host that accepted the request.
    incarnation : int
        Identifies the process among those that ran on the host.
    sequence : int
        Number of the request in that process.
    """

    host: str
    incarnation: int
    sequence: int

    def __str__(self) -> str:
        return f"req-{self.host}-{self.incarnation:x}-{self.sequence:x}"

    @classmethod
    def parse(cls, text: str) -> "RequestId":
        """Parse the text form; raises `ValueError` if it is malformed."""
        match = _REQUEST_ID.fullmatch(text)
        if match is None:
            raise ValueError(f"not a request id: {text[:80]!r}")
        host, incarnation, sequence = match.groups()
        return cls(host, int(incarnation, 16), int(sequence, 16))


@dataclass(frozen=True, slots=True)
class EngineRequestId:
    """Identifies one attempt to run a request on an engine; each retry adds 1."""

    request_id: RequestId
    attempt: int

    def __str__(self) -> str:
        return f"{self.request_id}.{self.attempt}"

    @classmethod
    def parse(cls, text: str) -> "EngineRequestId":
        """Parse the text form; raises `ValueError` if it is malformed."""
        head, _, attempt = text.rpartition(".")
        if not attempt.isdecimal():
            raise ValueError(f"not an engine request id: {text[:80]!r}")
        return cls(RequestId.parse(head), int(attempt))
