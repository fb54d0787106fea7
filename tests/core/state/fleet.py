"""Helpers shared by the tests of the control state."""

from hashlib import sha256

from damaskridge.core.state.control_state import ControlState
from damaskridge.model.bundle import (
    BackendServer,
    BackendServerRole,
    Bundle,
    KeyRecord,
    Model,
    Operator,
    Workspace,
)
from damaskridge.model.control import (
    OpenSession,
    ProposeBundle,
    RollBundle,
    SignOffBundle,
)


def digest(key):
    return sha256(key.encode()).hexdigest()


def server(name, cell="c1", data_centre="west", role=BackendServerRole.MIXED):
    return BackendServer(
        name, cell, role, "m", data_centre, "127.0.0.1:9000", slots=2, kv_pieces=8
    )


def bundle(*workspaces, keys=("k1",), cells=("c1", "c2")):
    names = workspaces or ("w1", "w2", "w3")
    return Bundle(
        workspaces=tuple(Workspace(name, 10.0, 10.0) for name in names),
        keys=tuple(KeyRecord(digest(key), names[0]) for key in keys),
        operators=tuple(Operator(name, digest(name)) for name in ("ada", "bob")),
        models=(Model("m", 4096),),
        backend_servers=tuple(server(f"s-{cell}", cell) for cell in cells),
    )


class Fleet:
    """
    A control state to which commands are applied with increasing indexes.

    Without `state`, it begins with a bundle in force, and one session for each of
    `hosts`. `deltas` has the delta of every command.
    """

    def __init__(self, *hosts, state=None):
        self.state = state or ControlState()
        self.index = self.state.data.index
        self.deltas = []
        if state is None:
            self.roll(bundle())
        for host in hosts:
            self.open(host)

    @property
    def data(self):
        return self.state.data

    def apply(self, command):
        self.index += 1
        applied = self.state.apply(self.index, command)
        self.deltas.append(applied.delta)
        return applied.result

    def run(self, kind, command_id="", **fields):
        """Apply a command of class `kind`, by default with a new command id."""
        command_id = command_id or f"id-{self.index}"
        fields.setdefault("at_ms", self.data.now_ms)
        return self.apply(kind(command_id=command_id, **fields))

    def signed(self, content):
        """Propose and sign off a bundle; return the id of the proposal."""
        name = self.run(ProposeBundle, operator="ada", bundle=content).value
        assert self.run(SignOffBundle, operator="bob", proposal=name).failure is None
        return name

    def roll(self, content):
        """Put a bundle in force."""
        return self.run(
            RollBundle,
            operator="ada",
            proposal=self.signed(content),
            expected_version=self.data.version,
        )

    def open(self, host, data_centre="west"):
        """Open a session of a host; return its number."""
        return int(
            self.run(
                OpenSession,
                host=host,
                incarnation=1,
                data_centre=data_centre,
                caller_address=f"{host}:1",
                peer_address=f"{host}:2",
            ).value
        )
