"""The platform's programs as processes, with stand-ins for what they meet."""

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

import msgspec
from tests.adapters.gateway.standin import (
    StandIn,
    chunk,
    chunked_head,
    events,
    response,
)

from damaskridge.model.gateway import EngineStage

ROOT = Path(__file__).resolve().parents[2]
# Loopback addresses of three machines: ports are the same on all of them.
MACHINES = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
WITHOUT_DISK = "127.0.0.4"
START_S = 15.0
BLOCK_PORTS = 40
USED_PORTS = 26


def _is_free(ip, port):
    try:
        socket.create_server((ip, port)).close()
    except OSError:
        return False
    return True


def _reserve_ports():
    """
    Return a listening socket that reserves a block of ports, and the first of them.

    Ports that the kernel hands out to connections may be taken before a program
    that was told them starts; those of a block are below that range.
    """
    for first in range(20_000, 32_000, BLOCK_PORTS):
        try:
            reserved = socket.create_server((MACHINES[0], first))
        except OSError:
            continue
        if all(
            _is_free(ip, first + n) for ip in MACHINES for n in range(1, USED_PORTS)
        ):
            return reserved, first
        # Programs of a run that was killed may still listen here.
        reserved.close()
    raise RuntimeError("no block of ports is free")


async def _answer(request, writer):
    writer.write(response(request, body=b"served"))


async def _read_prompt(request, writer):
    body = b'{"HandleId":"h1","Tokens":100}'
    writer.write(response(request, body=body, signed=False))


async def _generate(request, writer):
    writer.write(chunked_head(request) + chunk(events(1, 3)) + b"0\r\n\r\n")


class PlatformFleet:
    """Three machines, each with a control and an entry process."""

    # What the settings of every process say of the operator's bounds.
    bounds = ("Bounds.GraceS=6",)

    def __init__(self, folder):
        self.folder = folder
        self.processes = {}
        # Sizes of the logs when the programs were last started.
        self.log_bytes = {}
        self.leaving = set()
        self.version = 0
        self._reserved, first = _reserve_ports()
        self.front, self.ready, self.control, self.directory = range(
            first + 1, first + 5
        )
        self.list_port, self.rpc = first + 5, first + 10
        self.app = StandIn("app-1", _answer)
        self.prefill = StandIn("p-1", _read_prompt, EngineStage.PREFILL, "llm")
        self.decode = StandIn("d-1", _generate, EngineStage.DECODE, "llm")
        self._servers = []

    async def __aenter__(self):
        for standin in (self.app, self.prefill, self.decode):
            server = await asyncio.start_server(standin.serve, MACHINES[0], 0)
            host, port = server.sockets[0].getsockname()
            standin.address = f"{host}:{port}"
            self._servers.append(server)
        await self.start_list()
        return self

    async def start_list(self):
        """Serve the list of backend servers, and start all programs."""
        listing = await asyncio.start_server(self._list, MACHINES[0], self.list_port)
        self._servers.append(listing)
        for number in range(len(MACHINES)):
            self.start("control", number, first=True)
            self.start("entry", number, first=True)

    def listed(self):
        """Return the backend servers of the list."""
        return [self.app, self.prefill, self.decode]

    async def __aexit__(self, *error):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await asyncio.to_thread(process.wait)
        for server in self._servers:
            server.close()
        self._reserved.close()

    def start(self, program, number, *, first=False, has_disk=True, seeds=MACHINES):
        import subprocess

        ip = (*MACHINES, WITHOUT_DISK)[number]
        seeds = ",".join(f"{other}:{self.control}" for other in seeds)
        lines = [
            f"Node=machine-{number}",
            f"Ip={ip}",
            "Zone=west",
            f"PortRange={self.rpc},{self.rpc + 15}",
            f"Seeds={seeds}",
            f"Bootstrap={str(first).lower()}",
            f"Cloud.Address={MACHINES[0]}:{self.list_port}",
            *self.bounds,
        ]
        if program == "entry":
            lines += [
                f"Listen.Front={ip}:{self.front}",
                f"Listen.Ready={ip}:{self.ready}",
                f"Listen.Directory={ip}:{self.directory}",
            ]
        else:
            lines += [
                f"Listen.Control={ip}:{self.control}",
                f"DataDir={self.folder}/data-{number}" if has_disk else "DataDir=",
            ]
        settings = self.folder / f"{program}-{number}.conf"
        settings.write_text("\n".join(lines))
        log = (self.folder / f"{program}-{number}.log").open("ab")
        self.log_bytes[program, number] = log.tell()
        self.processes[program, number] = subprocess.Popen(
            [sys.executable, *self.program_words(), program],
            env={**os.environ, "DAMASKRIDGE_CONFIG": str(settings)},
            stdout=log,
            stderr=log,
            start_new_session=True,
        )

    def program_words(self):
        """Return the words of the command line before the program's name."""
        return [str(ROOT / "deploy" / "run.py")]

    def has_logged(self, program, number):
        """Tell whether a program has written a line since its last start."""
        log = self.folder / f"{program}-{number}.log"
        return log.stat().st_size > self.log_bytes[program, number]

    def stop(self, program, number, sent=signal.SIGTERM):
        self.processes[program, number].send_signal(sent)

    async def publish(self, *, path="/a/", keys=("k",), timeout_s=START_S):
        """Put a configuration in force; returns when it is acknowledged."""
        self.version += 1
        host = {"Hostname": "h.example", "TimeoutMs": 4000, "MaxAttempts": 2}
        document = {
            "Version": self.version,
            "Routes": [
                {**host, "Name": "r1", "PathPrefix": path, "Kind": "idempotent"}
                | {"Service": "app"},
                {**host, "Name": "r2", "PathPrefix": "/gen/", "Kind": "stream"}
                | {"Service": "llm", "SloMs": 900},
            ],
            "Services": [
                {"Name": "app"},
                {
                    "Name": "llm",
                    "Engine": {
                        "Slots": 8,
                        "KvCapacity": 60000,
                        "KvHoldS": 0.5,
                        "HoldMs": 2000,
                    },
                },
            ],
            "Tenants": [{"Name": "t", "ApiKeys": list(keys)}],
        }
        body = msgspec.json.encode(document)
        await self.until(lambda: self.offer("PUT", "/api/config", body), timeout_s)

    async def offer(self, method, path, body=b""):
        """Ask one control host after the other; tell whether one did it."""
        for ip in MACHINES:
            status, _ = await self.http(ip, self.control, method, path, body=body)
            if status == 200:
                return True
        return False

    async def read_version(self, timeout_s=START_S):
        """Return the version in force as a control host confirms it."""
        found = []

        async def is_read():
            for ip in MACHINES:
                status, body = await self.http(ip, self.control, "GET", "/api/config")
                if status == 200:
                    found.append(msgspec.json.decode(body)["Version"])
                    return True
            return False

        await self.until(is_read, timeout_s)
        return found[0]

    async def until(self, condition, timeout_s=START_S):
        async with asyncio.timeout(timeout_s):
            while not await condition():  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def is_ready(self, number, wanted=200):
        status, _ = await self.http(MACHINES[number], self.ready, "GET", "/api/ready")
        return status == wanted

    async def ask(self, number, path="/a/x", headers=(), key="k"):
        lines = ["x-attempt-id: a1", f"authorization: Bearer {key}", *headers]
        return await self.http(MACHINES[number], self.front, "POST", path, lines)

    async def http(self, ip, port, method, path, headers=(), body=b""):
        """Return status and body; status 0 without an answer."""
        try:
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [f"{method} {path} HTTP/1.1", "host: h.example", *headers]
            lines += [f"content-length: {len(body)}", "connection: close"]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            data = await asyncio.wait_for(reader.read(), 6.0)
            writer.close()
            head, _, rest = data.partition(b"\r\n\r\n")
            return int(head.split(b" ")[1]), rest
        except (OSError, IndexError, TimeoutError):
            return 0, b""

    async def _list(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        entries = []
        for item in self.listed():
            entry = {
                "Id": item.name,
                "Service": item.service,
                "Address": item.address,
                "Zone": "west",
                "Slots": 64,
                "State": "draining" if item.name in self.leaving else "ready",
            }
            if item.stage is not None:
                entry["Phase"] = item.stage.value
            entries.append(entry)
        entries.append({"Id": 3})
        body = msgspec.json.encode({"Instances": entries, "Next": None})
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)
        )
        await writer.drain()
        writer.close()
