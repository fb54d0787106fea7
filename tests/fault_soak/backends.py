"""Backend servers that record what they run."""

import asyncio

from damaskridge.model.gateway import EngineStage
from tests.adapters.gateway.standin import (
    StandIn,
    chunk,
    chunked_head,
    not_executed,
    reply,
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

    def _begin(self, seen, name):
        has_key = "authorization" in seen.headers
        return self._record.run_began(name, seen.attempt, has_key)

    def _refuses(self, name, seen, writer, *, is_reading=False):
        """Count an arrival; answers it if the server turns requests away."""
        refuses = name in self.refusing
        self._record.arrived(seen.attempt, is_reading=is_reading, was_refused=refuses)
        if refuses:
            writer.write(not_executed(seen))
        return refuses

    def call(self, name):
        async def script(seen, writer):
            if self._refuses(name, seen, writer):
                return
            run = self._begin(seen, name)
            await asyncio.sleep(self._rng.uniform(0.0, 0.06))
            self._record.run_ended(run)
            writer.write(reply(seen, body=b"ran:" + seen.attempt.encode()))

        return StandIn(name, script)

    def prefill(self, name):
        async def script(seen, writer):
            if self._refuses(name, seen, writer, is_reading=True):
                return
            await asyncio.sleep(self._rng.uniform(0.0, 0.03))
            body = b'{"HandleId":"h-%s","Tokens":100}' % seen.attempt.encode()
            writer.write(reply(seen, body=body, signed=False))

        return StandIn(name, script, EngineStage.PREFILL, "llm")

    def decode(self, name):
        async def script(seen, writer):
            if self._refuses(name, seen, writer):
                return False
            run = self._begin(seen, name)
            try:
                first = int(seen.headers.get("last-event-id", "0")) + 1
                writer.write(chunked_head(seen))
                for number in range(first, event_count(seen.attempt) + 1):
                    await asyncio.sleep(EVENT_PAUSE_S)
                    if writer.transport.is_closing() or seen.reader.at_eof():
                        return True
                    event = f"id: {number}\ndata: {seen.attempt}/{number}\n\n"
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
