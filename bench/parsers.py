"""Time that the incremental parsers take for the same bytes in pieces of other sizes.

`python -m bench.parsers` prints a table and fails if a parser exceeds a bound: 256 KB
may take 5 times as long as 64 KB, and 0.5 s in pieces of 16 bytes.
"""

import re
import sys
import time
from collections.abc import Callable, Iterator

import h11

from damaskridge.core.byte_splitter import ByteSplitter
from damaskridge.core.gateway.event_stream import EventSplitter

__all__ = ["PARSERS", "measure_s"]

SIZES_BYTES = (65_536, 262_144)
PIECES_BYTES = (1, 16, 1024)
MAX_RATIO = 5.0
MAX_TIME_S = 0.5
# Repeats of a run, of which the fastest counts.
REPEATS = 5
LINE_END = re.compile(rb"\n")
HEAD = b"HTTP/1.1 200 OK\r\n"


def events_without_end(data: bytes, pieces: Iterator[bytes]) -> None:
    splitter = EventSplitter(limit_bytes=len(data))
    for piece in pieces:
        splitter.feed(piece)


def lines_without_end(data: bytes, pieces: Iterator[bytes]) -> None:
    splitter = ByteSplitter(LINE_END, longest_match_bytes=1)
    for piece in pieces:
        splitter.feed(piece.replace(b"\n", b"x"))


def response_head(data: bytes, pieces: Iterator[bytes]) -> None:
    _receive(len(data) + 1000, HEAD, (piece.replace(b"\n", b"x") for piece in pieces))


def response_body(data: bytes, pieces: Iterator[bytes]) -> None:
    _receive(1000, HEAD + b"\r\n", pieces)


def _receive(limit_bytes: int, start: bytes, pieces: Iterator[bytes]) -> None:
    connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=limit_bytes)
    connection.send(h11.Request(method="GET", target="/", headers=[("host", "h")]))
    connection.send(h11.EndOfMessage())
    connection.receive_data(start)
    for piece in pieces:
        connection.receive_data(piece)
        while connection.next_event() is not h11.NEED_DATA:
            pass


PARSERS: dict[str, Callable[[bytes, Iterator[bytes]], None]] = {
    "events": events_without_end,
    "lines": lines_without_end,
    "heads": response_head,
    "bodies": response_body,
}


def measure_s(name: str, size_bytes: int, piece_bytes: int) -> float:
    """Return the shortest time of a parser for bytes that come in pieces."""
    data = (b"data: xxxxxxxxx\n" * (size_bytes // 16))[:size_bytes]
    times_s = []
    for _ in range(REPEATS):
        starts = range(0, size_bytes, piece_bytes)
        pieces = [data[start : start + piece_bytes] for start in starts]
        started_s = time.perf_counter()
        PARSERS[name](data, iter(pieces))
        times_s.append(time.perf_counter() - started_s)
    return min(times_s)


def main() -> int:
    """Print the table; return 1 if a bound is exceeded."""
    exceeded = False
    print("parser  piece_bytes  64KB_s  256KB_s  ratio")
    for name in PARSERS:
        for piece_bytes in PIECES_BYTES:
            small_s, large_s = (measure_s(name, s, piece_bytes) for s in SIZES_BYTES)
            ratio = large_s / small_s
            is_slow = ratio > MAX_RATIO or (piece_bytes == 16 and large_s > MAX_TIME_S)
            exceeded |= is_slow
            mark = "  over the bound" if is_slow else ""
            row = f"{small_s:.4f}  {large_s:.4f}  {ratio:.1f}{mark}"
            print(f"{name}  {piece_bytes}  {row}")
    return int(exceeded)


if __name__ == "__main__":
    sys.exit(main())
