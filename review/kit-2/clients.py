"""Clients of the deployment, as the pages describe them."""

import asyncio
import json
import random
import time

from http11 import call, read_chunks, read_head

DIRECTORY_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
# Streams are abandoned after four times the objective of 900 ms without an event.
STREAM_GAP_S = 3.6


class Result:
    """What a client saw of one attempt."""

    def __init__(self, kind, attempt, address):
        self.kind = kind
        self.attempt = attempt
        self.address = address
        self.status = 0
        self.headers = {}
        self.body = b""
        self.events = []
        self.is_complete = False
        self.sent_s = 0.0
        # From the sending to the final answer; None without one.
        self.answered_s = None
        self.waited_s = 0.0


class Client:
    """One client: it resolves addresses, and picks among them for each connection."""

    def __init__(self, fleet, record, number, key, host):
        self._fleet = fleet
        self._record = record
        self._number = number
        self._key = key
        self._host = host
        self._rng = random.Random(number)
        self._count = 0
        self._addresses = []
        self._failed = set()
        self._resolved_until_s = 0.0
        # Some clients keep a response three times as long.
        self._keeps = 3 if number % 3 == 0 else 1

    async def address(self):
        """Return a front address, or an empty string if there is none."""
        if time.monotonic() >= self._resolved_until_s:
            await self._resolve()
        usable = [a for a in self._addresses if a not in self._failed]
        return self._rng.choice(usable or self._addresses or [""])

    async def _resolve(self):
        nodes = list(range(len(self._fleet.ips)))
        first = self._number % len(nodes)
        for number in (nodes[first:] + nodes[:first])[:3]:
            target = f"/api/resolve?Name={self._host}&Region=kyushu&Zone=fukuoka"
            status, _, body = await call(
                self._fleet.directory(number),
                "GET",
                target,
                timeout_s=DIRECTORY_TIMEOUT_S,
            )
            if status == 200:
                found = json.loads(body)
                self._addresses, self._failed = found["Addresses"], set()
                kept_s = min(found["TtlS"], 5) * self._keeps
                self._resolved_until_s = time.monotonic() + kept_s
                return

    def _head(self, method, path, deadline_ms, headers, length):
        self._count += 1
        attempt = f"{self._number:04x}{self._count:06x}{self._rng.getrandbits(24):06x}"
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {self._host}",
            f"X-Attempt-Id: {attempt}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {self._key}",
            f"Content-Length: {length}",
            *headers,
        ]
        return attempt, "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def send(self, kind, method, path, deadline_ms, headers=(), body=b""):
        """Send one request on a new connection and return what came of it."""
        address = await self.address()
        attempt, head = self._head(method, path, deadline_ms, headers, len(body))
        result = Result(kind, attempt, address)
        host, _, port = address.rpartition(":")
        writer = None
        started_s = result.sent_s = time.monotonic()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
            started_s = result.sent_s = time.monotonic()
            async with asyncio.timeout(deadline_ms / 1000):
                writer.write(head + body)
                await self._read(reader, result, kind == "stream")
            result.answered_s = time.monotonic() - started_s
        except TimeoutError:
            self._failed.add(address)
        except (OSError, ValueError, asyncio.IncompleteReadError):
            # A closed connection is a final answer that promises nothing.
            result.answered_s = time.monotonic() - started_s
            self._failed.add(address)
        finally:
            result.waited_s = time.monotonic() - started_s
            if writer is not None:
                writer.close()
        answered = "nothing" if result.answered_s is None else result.status
        self._record.note(
            f"client {self._number} {kind} {attempt} at {address}: {answered} "
            f"after {result.waited_s:.3f} s"
        )
        return result

    async def _read(self, reader, result, is_stream):
        head = await asyncio.wait_for(
            read_head(reader), STREAM_GAP_S if is_stream else None
        )
        if head is None:
            raise ConnectionResetError("closed without an answer")
        result.status, result.headers = int(head[0].split(" ")[1]), head[1]
        if "content-length" in result.headers:
            length = int(result.headers["content-length"])
            result.body = await reader.readexactly(length)
            result.is_complete = True
            return
        chunks = read_chunks(reader)
        while True:
            try:
                result.body += await asyncio.wait_for(anext(chunks), STREAM_GAP_S)
            except StopAsyncIteration:
                result.is_complete = True
                return
