"""Scripted backend servers that record the requests they receive and run."""

import asyncio

from damaskridge.model.gateway import EngineStage
from tests.adapters.gateway.standin import (
    StandIn,
    chunk,
    chunked_head,
    not_executed,
    response,
)

__all__ = ["DEADLY_PART", "event_count", "event_text", "make_backends"]

EVENT_INTERVAL_S = 0.02
# Streams of plain servers are longer, so that one that is held back to its end shows.
PLAIN_EVENT_INTERVAL_S = 0.08
# Paths of a plain service that lead to streams.
STREAM_PATHS = ("/feed/", "/follow/")
PLAIN_VERSION = "v1"
# Decode engines crash when they begin to respond to a prompt with this part.
DEADLY_PART = "dead"


def event_count(stream_id):
    """Return the number of events of a stream, which its first attempt names."""
    return 4 + sum(stream_id.encode()) % 40


def event_text(stream_id, number, software_version):
    """Return an event of a stream that engines of this version write."""
    return f"id: {number}\ndata: {stream_id}/{number}/{software_version}\n\n"


class BackendFactory:
    """Makes the backend servers of one seed, which share a record."""

    def __init__(self, record, rng):
        self._record = record
        self._rng = rng
        # Names of the servers that refuse every request.
        self.refusing_servers = set()
        # Called with the name of a decode engine that crashes.
        self.on_crash = lambda name: None

    def _begin_run(self, request, name):
        has_key = "authorization" in request.headers
        return self._record.begin_run(name, request.attempt, has_key)

    def _record_arrival(self, name, request, writer, *, is_prefill=False):
        """Record an arrival, refuse it if the server refuses; return whether it did."""
        is_refused = name in self.refusing_servers
        self._record.add_cold_arrival(name)
        if _is_deadly(request):
            self._record.add_deadly_arrival(name, request.attempt)
        self._record.add_arrival(
            request.attempt, is_prefill=is_prefill, is_refused=is_refused
        )
        if is_refused:
            writer.write(not_executed(request))
        return is_refused

    def make_plain_server(self, name):
        async def script(request, writer):
            if self._record_arrival(name, request, writer):
                return
            run = self._begin_run(request, name)
            if request.target.startswith(STREAM_PATHS):
                try:
                    writer.write(chunked_head(request))
                    return await self._write_events(
                        request, writer, PLAIN_EVENT_INTERVAL_S, PLAIN_VERSION
                    )
                finally:
                    self._record.end_run(run)
            await asyncio.sleep(self._rng.uniform(0.0, 0.06))
            self._record.end_run(run)
            writer.write(response(request, body=b"ran:" + request.attempt.encode()))

        return StandIn(name, script, software_version=PLAIN_VERSION)

    async def _write_events(self, request, writer, interval_s, software_version):
        """Write the events that the caller lacks; return whether it has left."""
        stream_id = request.headers.get("resumes", request.attempt)
        first_event = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first_event, event_count(stream_id) + 1):
            await asyncio.sleep(interval_s)
            if writer.transport.is_closing() or request.reader.at_eof():
                return True
            self._record.add_written_event(request.attempt, number)
            event = event_text(stream_id, number, software_version)
            writer.write(chunk(event.encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return False

    def make_prefill_engine(self, name):
        async def script(request, writer):
            if self._record_arrival(name, request, writer, is_prefill=True):
                return
            await asyncio.sleep(self._rng.uniform(0.0, 0.03))
            body = b'{"HandleId":"h-%s","Tokens":100}' % request.attempt.encode()
            writer.write(response(request, body=body, signed=False))

        return StandIn(name, script, EngineStage.PREFILL, "llm")

    def make_decode_engine(self, name, software_version):
        async def script(request, writer):
            if self._record_arrival(name, request, writer):
                return False
            run = self._begin_run(request, name)
            try:
                writer.write(chunked_head(request))
                if _is_deadly(request):
                    await writer.drain()
                    self.on_crash(name)
                    return True
                return await self._write_events(
                    request, writer, EVENT_INTERVAL_S, software_version
                )
            finally:
                self._record.end_run(run)

        return StandIn(
            name,
            script,
            EngineStage.DECODE,
            "llm",
            software_version=software_version,
        )


def make_backends(record, rng):
    """
    Return three plain servers, a prefill engine and two decode engines in a list.

    The decode engines have different software versions.

    The second value is the factory, by which the caller changes their behaviour.
    """
    factory = BackendFactory(record, rng)
    plain_servers = [factory.make_plain_server(f"app-{number}") for number in range(3)]
    decode_engines = [
        factory.make_decode_engine(f"d-{number}", f"v{number}") for number in range(2)
    ]
    return [
        *plain_servers,
        factory.make_prefill_engine("p-0"),
        *decode_engines,
    ], factory


def _is_deadly(request):
    prompt = request.headers.get("x-prompt-prefix", "")
    return f"{DEADLY_PART}:" in prompt
