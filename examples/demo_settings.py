"""Addresses, settings files and bundles of the demo's processes."""

import hashlib
import json
import secrets
import socket
from dataclasses import dataclass, field
from pathlib import Path

ALICE_KEY, BOB_KEY = "operator-alice", "operator-bob"
KEYS = {"relofting": "key-relofting", "magicians": "key-magicians"}
WITHDRAWN_KEY = "key-relofting-old"
ENGINES = {"prefill-1": "prefill", "prefill-2": "prefill"} | {
    "decode-1": "decode",
    "decode-2": "decode",
}
SERVICES = ("desk-1", "desk-2")
ENTRIES = ("entry-1", "entry-2", "entry-3")
CONTROLS = ("control-1", "control-2", "control-3")
PORT_RANGE = range(10_000, 20_000)


def digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def free_ports(count: int) -> list[int]:
    """
    Return distinct free ports; each stays bound until all of them are chosen.

    They are below the ephemeral range: an outgoing connection could otherwise take one
    before the program that is configured with it starts.
    """
    sockets: list[socket.socket] = []
    while len(sockets) < count:
        bound = socket.socket()
        try:
            bound.bind(("127.0.0.1", secrets.choice(PORT_RANGE)))
        except OSError:
            bound.close()
        else:
            sockets.append(bound)
    ports = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return ports


@dataclass
class Layout:
    """The addresses by process and purpose, and the folder for files of the demo."""

    folder: Path
    addresses: dict[str, str] = field(default_factory=dict)
    engines: dict[str, str] = field(default_factory=lambda: dict(ENGINES))
    slots: int = 20
    decode_step_ms: float = 40.0

    def __post_init__(self) -> None:
        names = [
            f"{name}/{purpose}"
            for name in CONTROLS
            for purpose in ("peer", "operators")
        ]
        names += [
            f"{name}/{purpose}"
            for name in ENTRIES
            for purpose in ("caller", "peer", "operators")
        ]
        names += [*self.engines, *SERVICES, "hosts"]
        for name, port in zip(names, free_ports(len(names)), strict=True):
            self.addresses[name] = f"127.0.0.1:{port}"

    def port(self, name: str) -> str:
        return self.addresses[name].rpartition(":")[2]

    def write(self, name: str, content: object) -> Path:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(content, indent=2))
        return path

    def control_addresses(self) -> list[str]:
        return [self.addresses[f"{name}/peer"] for name in CONTROLS]

    def control_settings(self, name: str) -> Path:
        content = {
            "host": name,
            "data_centre": "fukuoka",
            "rpc_address": self.addresses[f"{name}/peer"],
            "operators_address": self.addresses[f"{name}/operators"],
            "members": {item: self.addresses[f"{item}/peer"] for item in CONTROLS},
            "data_folder": str(self.folder / f"{name}-data"),
        }
        return self.write(name, content)

    def entry_settings(self, name: str) -> Path:
        content = {
            "host": name,
            "data_centre": "fukuoka",
            "caller_address": self.addresses[f"{name}/caller"],
            "peer_address": self.addresses[f"{name}/peer"],
            "operators_address": self.addresses[f"{name}/operators"],
            "control_addresses": self.control_addresses(),
            "host_list_address": self.addresses["hosts"],
            "front": {"keep_s": 1.0},
        }
        return self.write(name, content)

    def bundle(self, name: str, rate_tokens_per_s: float) -> Path:
        engines = [self._engine(item, role) for item, role in self.engines.items()]
        services = [self._service(item) for item in SERVICES]
        keys = [
            {"digest": digest(key), "workspace": workspace}
            for workspace, key in KEYS.items()
        ]
        keys.append({"digest": digest(WITHDRAWN_KEY), "workspace": "relofting"})
        content = {
            "workspaces": [
                {
                    "name": workspace,
                    "rate_tokens_per_s": rate_tokens_per_s,
                    "burst_tokens": 50_000.0,
                }
                for workspace in KEYS
            ],
            "keys": keys,
            "operators": [
                {"name": "alice", "key_digest": digest(ALICE_KEY)},
                {"name": "bob", "key_digest": digest(BOB_KEY)},
            ],
            "models": [{"name": "notes", "context_tokens": 32_768}],
            "routes": [
                {"service": "desk", "path": "bookings", "repeatable": False},
                {"service": "desk", "path": "availability", "open_to_all": True},
            ],
            "backend_servers": engines + services,
        }
        return self.write(name, content)

    def _engine(self, name: str, role: str) -> dict[str, object]:
        return {
            "name": name,
            "cell": "notes-fukuoka",
            "role": role,
            "serves": "notes",
            "data_centre": "fukuoka",
            "address": self.addresses[name],
            "slots": self.slots,
            "kv_pieces": 4000,
            "decode_step_ms": self.decode_step_ms,
        }

    def _service(self, name: str) -> dict[str, object]:
        return {
            "name": name,
            "cell": "desk-fukuoka",
            "role": "service",
            "serves": "desk",
            "data_centre": "fukuoka",
            "address": self.addresses[name],
            "slots": 8,
        }
