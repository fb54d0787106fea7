"""Backend servers that record what they run."""

import asyncio

from damaskridge.model.gateway import EngineStage
from tests.adapters.gateway.standin import (
    StandIn,
    chunk,
    chunked_head,
    not_executed,
    response,
)

__all__ = ["event_count", "make_backends"]

EVENT_PAUSE_S = 0.02


def event_count(attempt):
    """Return how many events the stream of a request has."""
    return 4 + sum(attempt.encode()) % 40


class Backends:
    """The servers of one run, with a shared record."""

    def __init__(self, record, rng):
        self._record = record
        self._rng = rng
        # Names of servers that turn every request away.
        self.refusing = set()

    def _begin(self, request, name):
        has_key = "authorization" in request.headers
        return self._record.run_began(name, request.attempt, has_key)

    def _refuses(self, name, request, writer, *, is_reading=False):
        """Count an arrival; answers it if the server turns requests away."""
        refuses = name in self.refusing
        self._record.arrived(
            request.attempt, is_reading=is_reading, was_refused=refuses
        )
        if refuses:
            writer.write(not_executed(request))
        return refuses

    def call(self, name):
        async def script(request, writer):
            if self._refuses(name, request, writer):
                return
            run = self._begin(request, name)
            await asyncio.sleep(self._rng.uniform(0.0, 0.06))
            self._record.run_ended(run)
            writer.write(response(request, body=b"ran:" + request.attempt.encode()))

        return StandIn(name, script)

    def prefill(self, name):
        async def script(request, writer):
            if self._refuses(name, request, writer, is_reading=True):
                return
            await asyncio.sleep(self._rng.uniform(0.0, 0.03))
            body = b'{"HandleId":"h-%s","Tokens":100}' % request.attempt.encode()
            writer.write(response(request, body=body, signed=False))

        return StandIn(name, script, EngineStage.PREFILL, "llm")

    def decode(self, name):
        async def script(request, writer):
            if self._refuses(name, request, writer):
                return False
            run = self._begin(request, name)
            try:
                first = int(request.headers.get("last-event-id", "0")) + 1
                writer.write(chunked_head(request))
                for number in range(first, event_count(request.attempt) + 1):
                    await asyncio.sleep(EVENT_PAUSE_S)
                    if writer.transport.is_closing() or request.reader.at_eof():
                        return True
                    event = f"id: {number}\ndata: {request.attempt}/{number}\n\n"
                    writer.write(chunk(event.encode()))
                    await writer.drain()
                writer.write(b"0\r\n\r\n")
            finally:
                self._record.run_ended(run)

        return StandIn(name, script, EngineStage.DECODE, "llm")


def make_backends(record, rng):
    """
    Return three plain servers, a prefill engine and two decode engines.

    The second value is the set of names of those that turn requests away.
    """
    made = Backends(record, rng)
    calls = [made.call(f"app-{number}") for number in range(3)]
    decodes = [made.decode(f"d-{number}") for number in range(2)]
    return [*calls, made.prefill("p-0"), *decodes], made.refusing
