"""Lets streams that have begun wait for room on engines before new ones.

A stream that has begun goes on only at engines of its software version, and its work is
lost if it is refused. A new one may begin at any engine, or later.

>>> precedence = RoomPrecedence()
>>> with precedence.waiting("llm", "v1"):
...     precedence.must_yield("llm", "v1"), precedence.must_yield("llm", "v2")
(True, False)
>>> precedence.must_yield("llm", "v1")
False
"""

import contextlib
from collections import Counter
from collections.abc import Iterator

__all__ = ["RoomPrecedence"]


class RoomPrecedence:
    """The begun streams of one host that wait for room, by service and version."""

    def __init__(self) -> None:
        self._waiting: Counter[tuple[str, str]] = Counter()

    @contextlib.contextmanager
    def waiting(self, service: str, software_version: str | None) -> Iterator[None]:
        """
        Count a stream as waiting within the context.

        Parameters
        ----------
        service : str
            Name of the service.
        software_version : str or None
            The version at which the stream has to go on; a new stream, with None, has
            no precedence.
        """
        if software_version is None:
            yield
            return
        self._waiting[service, software_version] += 1
        try:
            yield
        finally:
            self._waiting[service, software_version] -= 1
            if not self._waiting[service, software_version]:
                del self._waiting[service, software_version]

    def must_yield(self, service: str, software_version: str) -> bool:
        """Tell whether a new stream has to leave the engines of a version alone."""
        return (service, software_version) in self._waiting
