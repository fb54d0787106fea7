"""Callers that reuse connections and check every response."""

import asyncio

from tests.fault_soak.backends import DEADLY_PART, event_count, event_text
from tests.fault_soak.record import RESUMABLE_KINDS

__all__ = ["KINDS", "Caller"]

RESPONSE_TIMEOUT_S = 8.0
# What callers send: calls to plain servers, streams of engines, and streams of plain
# servers, of which those of kind "follow" may be resumed.
KINDS = ("safe", "safe", "safe", "once", "once", "stream", "stream", "feed", "follow")
STREAM_KINDS = frozenset({"stream", "feed", "follow"})
# A caller abandons a stream whose next chunk takes longer than this.
CHUNK_TIMEOUT_S = 4.0


class _TruncatedResponse(Exception):
    """The response ended before its last byte."""


class Caller:
    """
    Sends requests one at a time and reuses its connection.

    A connection is closed after an error and before a request to another machine.

    Parameters
    ----------
    number : int or str
        Names the caller, part of the ids of its requests.
    soak : Soak
        Holds the record, the front addresses and the configuration in force.
    rng : random.Random
        Source of the choices of requests and pauses.
    """

    def __init__(self, number, soak, rng):
        self._number = number
        self._soak = soak
        self._rng = rng
        self._connection = None
        self._machine = 0
        self._sent_count = 0
        # The part of a stream that was received before it broke off.
        self._partial_body = b""

    async def run(self):
        """Send random requests until cancelled."""
        while True:
            kind = self._rng.choice(KINDS)
            await self.send_request(kind, self._rng.randrange(self._soak.machine_count))
            await asyncio.sleep(self._rng.uniform(0.0, 0.15))

    async def run_deadly(self):
        """Send different requests whose prompts share a part that crashes engines."""
        while True:
            machine = self._rng.randrange(self._soak.machine_count)
            await self.send_request("stream", machine, parts=("first", DEADLY_PART))
            await asyncio.sleep(self._rng.uniform(0.2, 0.8))

    async def send_request(
        self, kind, machine, path="", key="", parts=("first",), taken_up=None
    ):
        """
        Send one request; return its status, or None without a complete response.

        A stream that breaks off is taken up once, at another machine or the same one.
        `taken_up` is the first attempt of such a stream, the number of its last event
        and its software version.
        """
        soak, record = self._soak, self._soak.record
        self._sent_count += 1
        attempt_id = f"a{self._number}-{self._sent_count}"
        path = path or soak.path_prefix_of(kind)
        key = key or self._rng.choice(soak.keys)
        if self._connection is not None and machine != self._machine:
            self._close()
        self._machine = machine
        request = record.add_request(attempt_id, kind, path, key, machine)
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                status, body = await self._exchange(request, parts, taken_up)
        except (OSError, EOFError, TimeoutError, _TruncatedResponse, ValueError):
            self._close()
            if kind in STREAM_KINDS:
                self._check_partial_body(request, taken_up)
            if kind in RESUMABLE_KINDS and taken_up is None:
                await self._take_up(request, key, parts)
            return None
        record.add_response(request, status)
        if status == 200:
            self._check_body(request, body, taken_up)
        elif status in (401, 403, 404):
            path_since_s = soak.in_force_since_s.get(path, float("inf"))
            allowed_since_s = max(
                path_since_s, soak.in_force_since_s.get(key, float("inf"))
            )
            removed = {path, key} & record.removed_at_s.keys()
            maybe_removed = record.maybe_removed_until_s
            removed |= {
                item
                for item in (path, key)
                if request.sent_s <= maybe_removed.get(item, float("-inf"))
            }
            if not removed and request.sent_s > allowed_since_s + 5.0:
                record.add_violation("denied", f"{request} was denied")
        return status

    async def _take_up(self, request, key, parts):
        """Go on with a stream that broke off, if any of its events was received."""
        lines = self._partial_body.decode().split("\n\n")[:-1]
        if not lines:
            return
        version = lines[-1].rpartition("/")[2]
        machine = self._rng.randrange(self._soak.machine_count)
        self._soak.record.take_ups["sent"] += 1
        status = await self.send_request(
            request.kind,
            machine,
            request.path,
            key,
            parts,
            taken_up=(request.attempt_id, len(lines), version),
        )
        self._soak.record.take_ups[status] += 1

    def _expected_stream(self, request, body, taken_up):
        """Return the whole stream that a body is, or begins."""
        version = body.decode().partition("\n\n")[0].rpartition("/")[2]
        stream_id, last, version = taken_up or (request.attempt_id, 0, version)
        return "".join(
            event_text(stream_id, number, version)
            for number in range(last + 1, event_count(stream_id) + 1)
        )

    def _check_partial_body(self, request, taken_up):
        """Check that a stream that broke off consists of whole events."""
        body = self._partial_body
        expected = self._expected_stream(request, body, taken_up)
        is_whole = not body or body.endswith(b"\n\n")
        if not is_whole or not expected.startswith(body.decode()):
            text = f"{request}: {body!r}"
            self._soak.record.add_violation("partial stream", text)

    def _check_body(self, request, body, taken_up=None):
        if request.kind in STREAM_KINDS:
            if body.decode() != self._expected_stream(request, body, taken_up):
                self._soak.record.add_violation("stream body", f"{request}: {body!r}")
        elif body != b"ran:" + request.attempt_id.encode():
            self._soak.record.add_violation("body", f"{request}: {body!r}")

    async def _exchange(self, request, parts, taken_up):
        self._partial_body = b""
        if self._connection is None:
            ip, port = self._soak.front_address_of(request.machine)
            self._connection = await asyncio.open_connection(ip, port)
        reader, writer = self._connection
        token_header = ""
        if request.kind == "stream":
            prompt = ",".join(f"{part}:20" for part in (*parts, request.attempt_id))
            token_header = f"x-token-count: 100,50\r\nx-prompt-prefix: {prompt}\r\n"
        if taken_up is not None:
            stream_id, last, _ = taken_up
            token_header += f"resumes: {stream_id}\r\nlast-event-id: {last}\r\n"
        body = request.attempt_id.encode()
        writer.write(
            f"POST {request.path}x HTTP/1.1\r\nhost: h.example\r\n{token_header}"
            f"x-attempt-id: {request.attempt_id}\r\n"
            f"authorization: Bearer {request.key}\r\n"
            f"content-length: {len(body)}\r\n\r\n".encode()
            + body
        )
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *header_lines = head.strip().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in header_lines)
        if headers.get("transfer-encoding") == "chunked":
            response_body = await self._read_chunked_body(reader, request)
        else:
            response_body = await reader.readexactly(int(headers["content-length"]))
            self._record_events(request, response_body)
        if headers.get("connection") == "close":
            self._close()
        return int(status_line.split()[1]), response_body

    async def _read_chunked_body(self, reader, request):
        while True:
            async with asyncio.timeout(CHUNK_TIMEOUT_S):
                size = int(await reader.readuntil(b"\r\n"), 16)
                chunk = await reader.readexactly(size + 2)
            if size == 0:
                return self._partial_body
            self._partial_body += chunk[:-2]
            self._record_events(request, chunk)

    def _record_events(self, request, data):
        if request.kind in STREAM_KINDS:
            for line in data.split(b"\n"):
                if line.startswith(b"id: "):
                    self._soak.record.add_event(request, int(line[4:]))

    def _close(self):
        if self._connection is not None:
            self._connection[1].transport.abort()
            self._connection = None
