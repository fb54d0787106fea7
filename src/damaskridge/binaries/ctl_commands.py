"""The implementation of the commands of `damaskridge-ctl`."""

import secrets
import sys
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from hashlib import sha256
from pathlib import Path
from typing import TypeVar
from urllib.parse import urlencode

import anyio
import httpcore
import msgspec

from damaskridge.adapters.boottime_loop import run_program
from damaskridge.adapters.bundle_file import read_bundle
from damaskridge.adapters.rpc.leader_client import LeaderClient
from damaskridge.binaries.ctl_explanations import explanation_lines
from damaskridge.core.state.bundles import bundle_difference
from damaskridge.core.state.view import (
    IDENTITY_FIELDS,
    apply_bundle_delta,
    item_identity,
)
from damaskridge.model.bundle import Bundle, KeyRecord
from damaskridge.model.control import (
    AdvanceTime,
    Command,
    CommandResult,
    DrainTarget,
    ProposeBundle,
    RollBackBundle,
    RollBundle,
    SetDrain,
    SignOffBundle,
    WithdrawKey,
)
from damaskridge.model.control_status import FleetStatus
from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.evacuations import EvacuationOrder
from damaskridge.model.explanations import Explanation

__all__ = ["CtlError", "CtlSettings", "Operations"]

T = TypeVar("T")

CALL_TIMEOUT_S = 10.0
IN_FORCE_TIMEOUT_S = 10.0
EXPLAIN_TIMEOUTS = {"timeout": {"connect": 2.0, "read": 2.0, "write": 2.0}}
POLL_INTERVAL_S = 0.1
KEY_BYTES = 32


class CtlError(Exception):
    """An error that ends the program with exit code `code` and one line of text."""

    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3

    def __init__(self, code: int, message: str) -> None:
        super().__init__(" ".join(message.split()))
        self.code = code

    @classmethod
    def of(cls, failure: Failure) -> "CtlError":
        """Return the error for a failure of a request to the control group."""
        unreachable = failure.kind in (
            ErrorKind.CONTROL_UNAVAILABLE,
            ErrorKind.NOT_LEADER,
        )
        code = cls.UNREACHABLE if unreachable else cls.REFUSED
        return cls(
            code,
            f"{failure.kind.value}: {failure.detail} ({failure.final_run_state.value})",
        )


@dataclass(frozen=True, slots=True)
class CtlSettings:
    """The options that all commands share."""

    control: tuple[str, ...]
    operator: str
    key_file: str
    request_id: str
    as_json: bool


class Operations:
    """Runs commands against the control group and prints their results."""

    def __init__(self, settings: CtlSettings) -> None:
        self._settings = settings

    def check(self, file: str) -> None:
        """Check a bundle file."""
        bundle = _load_bundle(file)
        self._print(f"{file}: valid", {"valid": True, "items": _counts(bundle)})

    def diff(self, file: str) -> None:
        """Show the changes relative to the version in force."""
        bundle = _load_bundle(file)
        status = self._read_status(with_bundle=True)
        before = status.bundle or Bundle()
        upserted, removed = bundle_difference(before, bundle)
        old = {name for name, _ in _items(before)}
        lines = [
            f"{'~' if name in old else '+'} {name} {msgspec.json.encode(item).decode()}"
            for name, item in _items(upserted)
        ]
        lines += [f"- {name}" for name in removed]
        change = {
            "base_version": status.version,
            "upserted": upserted,
            "removed": removed,
        }
        self._print("\n".join(lines) or "no difference", change)

    def propose(self, file: str) -> None:
        """Propose a bundle file."""
        self._propose(_load_bundle(file))

    def sign_off(self, proposal: str) -> None:
        """Approve a proposal."""
        command = SignOffBundle(
            command_id=self._command_id(), operator=self._operator(), proposal=proposal
        )
        self._commit_command(command)
        self._print(f"proposal {proposal} signed off", {"proposal": proposal})

    def roll(self, proposal: str, expected_version: int) -> None:
        """Put a proposal in force."""
        command = RollBundle(
            command_id=self._command_id(),
            operator=self._operator(),
            proposal=proposal,
            expected_version=_non_negative_int("expected-version", expected_version),
        )
        self._report_in_force(int(self._commit_command(command).value))

    def roll_back(self, to_version: int, expected_version: int) -> None:
        """Put an older version's content in force."""
        command = RollBackBundle(
            command_id=self._command_id(),
            operator=self._operator(),
            to_version=_non_negative_int("to-version", to_version),
            expected_version=_non_negative_int("expected-version", expected_version),
        )
        self._report_in_force(int(self._commit_command(command).value))

    def status(self) -> None:
        """Show the status."""
        status = self._read_status()
        status_by_host = {item.host: item for item in status.hosts}
        lines = [
            f"version {status.version}, leader {status.leader}, term {status.term}"
        ]
        for session in status.sessions:
            host_status = status_by_host.get(session.host)
            reached = f"version {host_status.version}" if host_status else "no report"
            state = " draining" if session.draining else ""
            lines.append(
                f"host {session.host} {session.data_centre} "
                f"session {session.number} {reached}{state}"
            )
        for proposal in status.proposals:
            signed = proposal.signed_off_by or "nobody"
            lines.append(
                f"proposal {proposal.proposal} by {proposal.proposer}, "
                f"signed off by {signed}"
            )
        for name in status.draining_hosts:
            lines.append(f"draining host {name}")
        for name in status.draining_backend_servers:
            lines.append(f"draining backend_server {name}")
        for name in status.evacuated:
            lines.append(f"evacuated data_centre {name}")
        self._print("\n".join(lines), status)

    def leases(self) -> None:
        """Show sessions and owners."""
        status = self._read_status()
        lines = [
            f"session {item.number} host {item.host} incarnation {item.incarnation}"
            for item in status.sessions
        ]
        for owner in status.owners:
            moving = f" moving to {owner.moving_to}" if owner.moving_to else ""
            holder = f"owner {owner.host or '-'} epoch {owner.epoch}"
            lines.append(f"{owner.resource} {holder}{moving}")
        content = {"sessions": status.sessions, "owners": status.owners}
        self._print("\n".join(lines), content)

    def key_issue(self, workspace: str, label: str) -> None:
        """Propose the bundle in force with one more key, and print the key."""
        if self._settings.request_id:
            # A retry must send the same command, but the key is not stored anywhere.
            raise CtlError(
                CtlError.USAGE,
                "key-issue makes a new key on every run and takes no --request-id; "
                "an unused proposal does no harm",
            )
        status = self._read_status(with_bundle=True)
        bundle = status.bundle or Bundle()
        if workspace not in {item.name for item in bundle.workspaces}:
            raise CtlError(CtlError.REFUSED, f"unknown_name: workspace {workspace!r}")
        key = secrets.token_urlsafe(KEY_BYTES)
        record = KeyRecord(_digest(key), workspace, label)
        content = apply_bundle_delta(bundle, Bundle(keys=(record,)), ())
        proposal = self._commit_bundle(content, f"ctl/{secrets.token_hex(8)}")
        self._print(
            f"key {key}\nproposal {proposal}, based on version {status.version}",
            {"key": key, "digest": record.digest, "proposal": proposal},
        )

    def key_withdraw(self, digest: str) -> None:
        """Withdraw a key."""
        if not digest:
            key = sys.stdin.readline().strip()
            if not key:
                raise CtlError(CtlError.USAGE, "no key on standard input")
            digest = _digest(key)
        command = WithdrawKey(
            command_id=self._command_id(),
            operator=self._operator(),
            key_digest=digest.lower(),
        )
        self._commit_command(command)
        self._print(f"key {digest} withdrawn", {"digest": digest})

    def drain(self, target: str, name: str, *, draining: bool) -> None:
        """Start or end a drain."""
        if target not in {item.value for item in DrainTarget}:
            raise CtlError(
                CtlError.USAGE, f"must be host or backend_server, not {target!r}"
            )
        command = SetDrain(
            command_id=self._command_id(),
            operator=self._operator(),
            target=DrainTarget(target),
            name=name,
            draining=draining,
        )
        self._commit_command(command)
        word = "draining" if draining else "not draining"
        self._print(f"{target} {name} {word}", {"name": name, "draining": draining})

    def explain(self, address: str, query: Mapping[str, object]) -> None:
        """Show where an entry host would send a request."""
        url = f"http://{address}/explain?{urlencode(query)}"
        try:
            with httpcore.ConnectionPool() as pool:
                response = pool.request("GET", url, extensions=EXPLAIN_TIMEOUTS)
        except (httpcore.NetworkError, httpcore.TimeoutException, OSError) as error:
            detail = f"{address}: {error or type(error).__name__}"
            raise CtlError(CtlError.UNREACHABLE, detail) from error
        if response.status != 200:
            detail = response.content.decode(errors="replace")
            raise CtlError(CtlError.USAGE, f"status {response.status}: {detail}")
        explanation = msgspec.json.decode(response.content, type=Explanation)
        self._print("\n".join(explanation_lines(explanation)), explanation)

    def evacuate(self, data_centre: str, *, is_evacuated: bool) -> None:
        """Evacuate a data centre, or take it back."""
        known = {session.data_centre for session in self._read_status().sessions}
        if data_centre not in known:
            names = ", ".join(sorted(known))
            detail = f"unknown_name: {data_centre!r} is none of {names}"
            raise CtlError(CtlError.REFUSED, detail)
        order = EvacuationOrder(
            data_centre=data_centre,
            is_evacuated=is_evacuated,
            operator=self._operator(),
        )
        self._commit_command(
            AdvanceTime(command_id=self._command_id(), evacuation=order)
        )
        word = "evacuated" if is_evacuated else "taken back"
        self._print(
            f"data_centre {data_centre} {word}",
            {"name": data_centre, "evacuated": is_evacuated},
        )

    def _propose(self, bundle: Bundle) -> None:
        proposal = self._commit_bundle(bundle, self._command_id())
        self._print(f"proposal {proposal}", {"proposal": proposal})

    def _commit_bundle(self, bundle: Bundle, command_id: str) -> str:
        command = ProposeBundle(
            command_id=command_id, operator=self._operator(), bundle=bundle
        )
        return self._commit_command(command).value

    def _command_id(self) -> str:
        request_id = self._settings.request_id
        if not request_id:
            request_id = f"ctl/{secrets.token_hex(8)}"
            print(f"request id {request_id}", file=sys.stderr)
        return request_id

    def _operator(self) -> str:
        if not self._settings.operator or not self._settings.key_file:
            raise CtlError(CtlError.USAGE, "needs --operator and --key-file")
        return self._settings.operator

    def _key(self) -> str:
        try:
            key = Path(self._settings.key_file).read_text(encoding="ascii").strip()
        except (OSError, UnicodeDecodeError) as error:
            raise CtlError(CtlError.USAGE, f"key file: {error}") from error
        if not key.isprintable() or not key:
            raise CtlError(CtlError.USAGE, "key file: must hold one line with the key")
        return key

    def _commit_command(self, command: Command) -> CommandResult:
        async def call(calls: LeaderClient) -> CommandResult:
            return await calls.propose(command, CALL_TIMEOUT_S)

        result = self._run(call, self._key())
        if result.failure is not None:
            raise CtlError.of(result.failure)
        return result

    def _read_status(self, *, with_bundle: bool = False) -> FleetStatus:
        async def call(calls: LeaderClient) -> FleetStatus:
            return await calls.status(CALL_TIMEOUT_S, with_bundle=with_bundle)

        status = self._run(call)
        if status.failure is not None:
            raise CtlError.of(status.failure)
        return status

    def _report_in_force(self, version: int) -> None:
        reached, live, took_s = self._run(
            lambda calls: _wait_until_in_force(calls, version)
        )
        content = {
            "version": version,
            "hosts_in_force": reached,
            "hosts_live": live,
            "took_s": took_s,
        }
        where = f"in force on {reached} of {live} live hosts after {took_s:.2f} s"
        self._print(f"version {version} {where}", content)

    def _run(self, call: Callable[[LeaderClient], Awaitable[T]], key: str = "") -> T:
        addresses = self._settings.control
        if not addresses:
            raise CtlError(CtlError.USAGE, "needs --control with ip:port")
        for address in addresses:
            host, _, port = address.rpartition(":")
            if not host or not port.isdecimal():
                raise CtlError(CtlError.USAGE, f"--control: not ip:port: {address!r}")

        async def main() -> T:
            calls = LeaderClient(addresses, operator_key=key)
            try:
                return await call(calls)
            finally:
                calls.close()

        return run_program(main)

    def _print(self, text: str, content: object) -> None:
        if self._settings.as_json:
            text = msgspec.json.encode(content).decode()
        print(text)


async def _wait_until_in_force(
    calls: LeaderClient, version: int
) -> tuple[int, int, float]:
    """
    Wait until a version is in force on all live hosts, or until the timeout.

    Returns the number of hosts on which it is in force, the number of live hosts and
    the elapsed seconds.
    """
    started_s = anyio.current_time()
    reached = live = 0
    with anyio.move_on_after(IN_FORCE_TIMEOUT_S):
        while True:
            status = await calls.status(IN_FORCE_TIMEOUT_S)
            if status.failure is None:
                hosts = {item.host: item.number for item in status.sessions}
                live = len(hosts)
                reached = sum(
                    hosts.get(item.host) == item.session and item.version >= version
                    for item in status.hosts
                )
                if reached == live:
                    break
            await anyio.sleep(POLL_INTERVAL_S)
    return reached, live, anyio.current_time() - started_s


def _load_bundle(file: str) -> Bundle:
    loaded = read_bundle(Path(file))
    if loaded.is_err():
        faults = loaded.unwrap_err()
        for fault in faults[:-1]:
            print(f"damaskridge-ctl: {fault}", file=sys.stderr)
        raise CtlError(CtlError.USAGE, faults[-1])
    return loaded.unwrap()


def _digest(key: str) -> str:
    return sha256(key.encode()).hexdigest()


def _non_negative_int(name: str, value: object) -> int:
    if type(value) is not int or value < 0:
        raise CtlError(CtlError.USAGE, f"--{name}: must be a whole number")
    return value


def _items(bundle: Bundle) -> list[tuple[str, object]]:
    return [
        (item_identity(field, item), item)
        for field in IDENTITY_FIELDS
        for item in getattr(bundle, field)
    ]


def _counts(bundle: Bundle) -> dict[str, int]:
    return {field: len(getattr(bundle, field)) for field in IDENTITY_FIELDS}
