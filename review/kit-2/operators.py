"""What the cases about configurations share: a small fleet, an operator, bookings."""

import asyncio
import contextlib
import json

from clients import Client
from deployment import (
    APP,
    BOOK_PATH,
    CALL_DEADLINE_MS,
    HOST,
    KEY,
    LLM,
    document,
    encode,
    services,
)
from fleet import Fleet
from runners import Platform, Runner

SECOND_APP = "shop-app"
FIRST_VERSION = 7
MAX_TRIES = 20


def with_second_app(version, **fields):
    """Return a valid configuration with a second plain service."""
    second = {"Name": SECOND_APP, "HealthPath": "/healthz", "MaxConns": 130}
    return document(version, **{"Services": [*services(), second], **fields})


class DirectClient(Client):
    """A client that uses one machine, to see what is in force there."""

    def __init__(self, fleet, record, number):
        super().__init__(fleet, record, number, KEY, HOST)

    async def address(self):
        return self._fleet.front(self._number)


class Operator:
    """Sends and reads configurations, and books at each machine."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self._record = record
        self._clients = [DirectClient(fleet, record, n) for n in range(len(fleet.ips))]

    async def send(self, name, body):
        """Send a change to the machines in turn until it gets a clear answer."""
        for _ in range(MAX_TRIES):
            for number in range(len(self.fleet.ips)):
                status, _ = await self.fleet.put_once(number, body)
                if status == 200 or 400 <= status < 500:
                    self._record.note(f"{name}: answered {status}")
                    return status
            await asyncio.sleep(0.1)
        self._record.note(f"{name}: no clear answer")
        return 0

    async def read_back(self):
        """Read at each machine; return the documents, None where it is unreadable."""
        documents = []
        for number in range(len(self.fleet.ips)):
            status, body = await self.fleet.read_config(number)
            read, seen = None, "no document"
            if status == 200:
                try:
                    read = json.loads(body)
                    seen = f"version {read['Version']}"
                except ValueError as error:
                    seen = f"a document that can't be read: {error}"
            documents.append(read)
            control = self.fleet.control(number)
            self._record.note(f"read back at {control}: {status}, {seen}")
        return documents

    async def book_everywhere(self):
        """Book at each machine; return the services that ran the bookings."""
        ran_by = []
        for number, client in enumerate(self._clients):
            path = f"{BOOK_PATH}2f"
            result = await client.send("book", "POST", path, CALL_DEADLINE_MS, (), b"b")
            runs = self._record.runs.get(result.attempt, [])
            ran_by.append([service for _, service, _ in runs])
            front = self.fleet.front(number)
            self._record.note(
                f"booking at {front}: {result.status}, run by {ran_by[-1]}"
            )
        return ran_by


@contextlib.asynccontextmanager
async def small_fleet(folder, record):
    """Provide the operator of a fleet that serves version `FIRST_VERSION`."""
    fleet = Fleet(folder)
    runners = [Runner(record, LLM, "prefill"), Runner(record, LLM, "decode")]
    runners += [Runner(record, APP), Runner(record, SECOND_APP)]
    platform = Platform(runners)
    try:
        for number, runner in enumerate(runners):
            await runner.start(fleet.ips[0], number + 1)
        await platform.start(fleet.list_address)
        fleet.start_all()
        await fleet.put_config(encode(with_second_app(FIRST_VERSION)))
        await fleet.wait_ready()
        yield Operator(fleet, record)
    finally:
        fleet.stop()
        with contextlib.suppress(Exception):
            platform.stop()
