"""Opens many streams to one entry host and prints their results as a line of JSON.

Runs in a process of its own, so that its work isn't counted as work of the measured
processes.
"""

import asyncio
import json
import sys
import time

_START_SPREAD_S = 2.0
_READ_BYTES = 65_536
_TIMEOUT_S = 60.0


class Stream:
    """Token offsets, and the gaps between their arrivals, of one stream."""

    def __init__(self) -> None:
        self.offsets: list[int] = []
        self.gaps_s: list[float] = []
        self.done = False
        self.first_data = b""
        self._last_s = 0.0

    def receive(self, data: bytes) -> None:
        now_s = time.perf_counter()
        if not self.first_data:
            self.first_data = data[:400]
        if b"data: [DONE]" in data:
            self.done = True
        # The final event has an id but no token.
        for part in data.split(b"id: ")[1:]:
            offset = part[: part.index(b"\n")]
            if b'"finish_reason":null' not in part:
                continue
            self.offsets.append(int(offset))
            if self._last_s:
                self.gaps_s.append(now_s - self._last_s)
            self._last_s = now_s

    def is_complete(self, tokens: int) -> bool:
        return self.done and self.offsets == list(range(tokens))


async def run_stream(address: str, key: str, number: int, tokens: int) -> Stream:
    host, _, port = address.rpartition(":")
    stream = Stream()
    body = json.dumps(
        {
            "model": "notes",
            "prompt": f"{number} which sail is ready?",
            "max_tokens": tokens,
            "stream": True,
        }
    )
    head = (
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n"
        f"authorization: Bearer {key}\r\ncontent-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n{body}"
    )
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(head.encode())
    rest = b""
    while data := await reader.read(_READ_BYTES):
        # An empty line ends an event; one read may return part of an event.
        whole, mark, rest = (rest + data).rpartition(b"\n\n")
        stream.receive(whole + mark) if mark else None
    if rest:
        stream.receive(rest)
    writer.close()
    return stream


async def run_all(address: str, key: str, count: int, tokens: int) -> list[Stream]:
    async def run_delayed(number: int) -> Stream:
        await asyncio.sleep(number * _START_SPREAD_S / count)
        return await run_stream(address, key, number, tokens)

    work = [asyncio.ensure_future(run_delayed(number)) for number in range(count)]
    await asyncio.wait(work, timeout=_TIMEOUT_S)
    return [
        item.result() if item.done() and not item.exception() else Stream()
        for item in work
    ]


def main() -> None:
    address, key, count, tokens = sys.argv[1:]
    streams = asyncio.run(run_all(address, key, int(count), int(tokens)))
    broken = [item for item in streams if not item.is_complete(int(tokens))]
    gaps_ms = [round(gap * 1000, 2) for item in streams for gap in item.gaps_s]
    whole = len(streams) - len(broken)
    broken_samples = [f"{len(item.offsets)} {item.first_data!r}" for item in broken[:3]]
    print(json.dumps({"whole": whole, "gaps_ms": gaps_ms, "broken": broken_samples}))


if __name__ == "__main__":
    main()
