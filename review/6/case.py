"""A runner spoils one stream; bookings at the machine that relays it get no answer."""

import asyncio
import contextlib
import time

from clients import Client
from deployment import (
    APP,
    BOOK_PATH,
    CALL_DEADLINE_MS,
    CALL_TIMEOUT_MS,
    HOST,
    KEY,
    LLM,
    STATUS_PATH,
    STREAM_PATH,
    STREAM_TIMEOUT_MS,
    document,
    encode,
)
from fleet import Fleet
from http11 import call
from main import run
from runners import Platform, Runner, chunk, stream_head

# Requests a second, as in the site file.
BOOKINGS_PER_S, STATUSES_PER_S, STREAMS_PER_S = 8.3, 8.0, 10.4
CLIENTS = 30
PHASES = ("prefill", "prefill", "decode", "decode", "decode")
STREAM_HEADERS = (
    "X-Model: m",
    "X-Token-Count: 5200,72",
    "X-Prompt-Prefix: 5c1e07a2:200,{part}:5000",
)
# A share of 0.02 of the answers of the faulty runners is spoiled.
SOUND_ANSWERS = 50
CALM_S = 6.0
# The runners are faulty at the beginning of each period.
PERIODS, PERIOD_S, FAULTY_S = 2, 14.0, 5.5
# Events without the empty lines that end them.
SPOILED_PIECE = b"data: ttttttttt\n"
SPOILED_BYTES = 300_000
# Of the rule: requests without a final answer this long after their time-out.
ALLOWANCE_S = 0.5
MIN_UNANSWERED = 8


class Spoiler:
    """Lets the decode runners spoil one answer, after fifty sound ones, per period."""

    def __init__(self, engines):
        self.engines = engines
        self._sound_from = 0
        self._until_s = 0.0

    def _answered(self):
        return sum(item.answered for item in self.engines)

    def begin(self, trouble):
        if trouble:
            self._until_s = time.monotonic() + FAULTY_S

    def spoil(self, engine, request):
        answered = self._answered()
        is_faulty = time.monotonic() < self._until_s
        if not is_faulty or answered < self._sound_from + SOUND_ANSWERS:
            return None
        self._until_s, self._sound_from = 0.0, answered
        pieces = SPOILED_BYTES // len(SPOILED_PIECE)
        body = chunk(SPOILED_PIECE) * pieces + b"0\r\n\r\n"
        return stream_head(engine.name, request) + body


async def send_at_rate(rate_per_s, send, tasks):
    while True:
        tasks.append(asyncio.ensure_future(send()))
        await asyncio.sleep(1 / rate_per_s)


async def watch_ready(fleet, record):
    """Ask each machine once a second whether it is ready, as the platform does."""
    while True:
        for number in range(len(fleet.ips)):
            status, _, _ = await call(fleet.ready(number), "GET", "/api/ready")
            if status != 200:
                record.note(f"{fleet.ready(number)} is not ready: {status or 'silent'}")
        await asyncio.sleep(1.0)


def judge(results, record):
    """Return whether bookings went unanswered for longer than the rule allows."""
    timeout_s = CALL_TIMEOUT_MS / 1000
    bookings = [item for item in results if item.kind == "book"]
    lasted = [item for item in bookings if item.waited_s > timeout_s]
    late = [
        item
        for item in lasted
        if item.waited_s > timeout_s + ALLOWANCE_S
        and (item.answered_s is None or item.answered_s > timeout_s + ALLOWANCE_S)
    ]
    record.note(
        f"{len(bookings)} bookings; {len(lasted)} lasted longer than TimeoutMs; "
        f"{len(late)} had no final answer {ALLOWANCE_S} s after it"
    )
    return len(late) >= MIN_UNANSWERED and 4 * len(late) > len(lasted)


async def play(folder, record, trouble):
    fleet = Fleet(folder)
    engines = [Runner(record, LLM, phase) for phase in PHASES]
    apps = [Runner(record, APP) for _ in range(3)]
    platform = Platform([*engines, *apps])
    background = []
    try:
        for number, runner in enumerate(platform.runners):
            await runner.start(fleet.ips[0], number + 1)
        await platform.start(fleet.list_address)
        fleet.start_all()
        await fleet.put_config(encode(document(7)))
        await fleet.wait_ready()
        record.note("all machines are ready")
        clients = [Client(fleet, record, n, KEY, HOST) for n in range(CLIENTS)]
        sent, turn = [], iter(range(10**9))

        def client():
            return clients[next(turn) % CLIENTS]

        async def book():
            path = f"{BOOK_PATH}2f"
            return await client().send("book", "POST", path, CALL_DEADLINE_MS, (), b"b")

        async def ask_status():
            path = f"{STATUS_PATH}2f"
            return await client().send("status", "GET", path, CALL_DEADLINE_MS)

        async def stream():
            number = next(turn)
            headers = [line.format(part=f"{number:08x}") for line in STREAM_HEADERS]
            sender = clients[number % CLIENTS]
            path = f"{STREAM_PATH}2f"
            return await sender.send(
                "stream", "POST", path, STREAM_TIMEOUT_MS, headers, b"x" * 5000
            )

        spoiler = Spoiler([item for item in engines if item.phase == "decode"])
        for engine in spoiler.engines:
            engine.spoil = lambda request, engine=engine: spoiler.spoil(engine, request)
        for rate_per_s, send in (
            (BOOKINGS_PER_S, book),
            (STATUSES_PER_S, ask_status),
            (STREAMS_PER_S, stream),
        ):
            background.append(
                asyncio.ensure_future(send_at_rate(rate_per_s, send, sent))
            )
        background.append(asyncio.ensure_future(watch_ready(fleet, record)))
        await asyncio.sleep(CALM_S)
        for _ in range(PERIODS):
            spoiler.begin(trouble)
            await asyncio.sleep(PERIOD_S)
        for task in background:
            task.cancel()
        await asyncio.wait(sent, timeout=STREAM_TIMEOUT_MS / 1000 + 1)
        results = [task.result() for task in sent if task.done()]
        return judge(results, record)
    finally:
        for task in background:
            task.cancel()
        fleet.stop()
        with contextlib.suppress(Exception):
            platform.stop()


if __name__ == "__main__":
    run(__file__, play)
