"""Client that finds and calls the leader of the control group."""

import random
from collections.abc import Sequence
from typing import Any

import anyio
from grpclib.client import StreamStreamMethod, UnaryUnaryMethod

from damaskridge.adapters.rpc.cancellation import CONNECTION_ERRORS
from damaskridge.adapters.rpc.channels import RpcChannel
from damaskridge.adapters.rpc.control_methods import (
    FOLLOW_PATH,
    OPERATOR_KEY,
    PROPOSE_PATH,
    STATUS_PATH,
)
from damaskridge.adapters.rpc.isolated_tasks import run_isolated
from damaskridge.model.control import AnyCommand, Command, CommandResult
from damaskridge.model.control_status import FleetStatus, StatusRequest
from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.follow import AnyFollowRequest, AnyFollowResponse

__all__ = ["LeaderClient", "NotConnected"]

# Longer than a commit takes under load, shorter than an election.
ATTEMPT_TIMEOUT_S = 1.0
BASE_RETRY_WAIT_S = 0.05
MAX_RETRY_WAIT_S = 0.4
# Time limit of the first attempts to connect, doubled for each further one. A control
# host that has no power doesn't refuse connections, and an attempt that began before it
# was back hangs.
FIRST_CONNECT_TIMEOUT_S = 0.15
FIRST_ATTEMPTS = 4
# Followers still return the address of an unresponsive leader until the next election.
# Each attempt to reach it would use up one second of the session's lease.
AVOID_AFTER_ERROR_S = 1.0


class NotConnected(OSError):
    """There was no connection within a time that is too short to matter."""


class LeaderClient:
    """
    Calls the leader of the control group, and retries calls that are lost.

    The leader is found by trying the control hosts in turn. A control host that doesn't
    lead returns the leader's address, if it knows it; that address is tried next.

    Parameters
    ----------
    addresses : sequence of str
        ``ip:port`` of every control host.
    operator_key : str
        Credential sent with commands and status requests; empty for an entry host.
    rng : random.Random or None
        Source of the jitter of retry waits.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        *,
        operator_key: str = "",
        rng: random.Random | None = None,
    ) -> None:
        assert addresses, "addresses must not be empty"
        self._addresses = list(addresses)
        self._metadata = {OPERATOR_KEY: operator_key} if operator_key else {}
        self._rng = rng or random.Random()
        self._next_index = 0
        self._leader_hint = ""
        self._is_leader_confirmed = False
        self._leader_found = anyio.Event()
        self._channels: dict[str, RpcChannel] = {}
        self._avoid_until_s: dict[str, float] = {}

    def add_addresses(self, addresses: Sequence[str]) -> None:
        """Add addresses of control hosts; those already known are kept."""
        self._addresses += [item for item in addresses if item not in self._addresses]

    def next_address(self) -> str:
        """Return the address to try next, if possible the leader's."""
        if self._leader_hint and not self._is_avoided(self._leader_hint):
            return self._leader_hint
        for _ in self._addresses:
            self._next_index += 1
            address = self._addresses[self._next_index % len(self._addresses)]
            if not self._is_avoided(address):
                break
        return address

    def record_leader(self, address: str) -> None:
        """Record that the control host at `address` is the leader."""
        if self._is_leader_confirmed and address == self._leader_hint:
            return
        self._leader_hint, self._is_leader_confirmed = address, True
        # Ends the waits before the retries of other calls.
        self._leader_found.set()
        self._leader_found = anyio.Event()

    def record_failure(self, address: str, leader: str = "") -> None:
        """Record a failed attempt; try `leader` next, or another address if empty."""
        self._leader_hint = "" if leader == address else leader
        self._is_leader_confirmed = False

    def retry_wait_s(self, attempt: int) -> float:
        """Return the wait before a retry: exponential backoff with full jitter."""
        max_wait_s = min(MAX_RETRY_WAIT_S, BASE_RETRY_WAIT_S * 2 ** min(attempt, 8))
        return self._rng.uniform(0, max_wait_s)

    def connect_timeout_s(self, attempt: int) -> float:
        """Return the time limit to connect in an attempt; `attempt` counts from 0."""
        doublings = min(max(0, attempt + 1 - FIRST_ATTEMPTS), 8)
        return FIRST_CONNECT_TIMEOUT_S * float(2**doublings)

    def drop_connection(self, address: str, error: BaseException | None = None) -> None:
        """
        Close a broken connection, and prefer the other addresses for a while.

        An address that refused the connection isn't avoided: the refusal costs no
        time, and a process that is starting refuses connections until it listens. Nor
        is one whose machine was off a moment ago: it may lead by now.
        """
        if not isinstance(error, ConnectionRefusedError | NotConnected):
            self._avoid_until_s[address] = anyio.current_time() + AVOID_AFTER_ERROR_S
        self._close(address)

    def close(self) -> None:
        """Close every connection."""
        for address in list(self._channels):
            self._close(address)

    def _close(self, address: str) -> None:
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def _is_avoided(self, address: str) -> bool:
        return anyio.current_time() < self._avoid_until_s.get(address, 0.0)

    def follow(self, address: str) -> Any:
        """Return a context manager that opens a `Follow` stream."""
        # grpclib annotates message types as classes; the codec also accepts unions.
        request_type: Any = AnyFollowRequest
        response_type: Any = AnyFollowResponse
        channel = self._channel(address)
        method: StreamStreamMethod[Any, Any] = StreamStreamMethod(
            channel, FOLLOW_PATH, request_type, response_type
        )
        return method.open()

    async def propose(self, command: Command, timeout_s: float) -> CommandResult:
        """Commit a command; retry with the same command id until a response arrives."""
        result = await self._call(PROPOSE_PATH, AnyCommand, command, timeout_s)
        return CommandResult(failure=result) if isinstance(result, Failure) else result

    async def status(
        self, timeout_s: float, *, with_bundle: bool = False
    ) -> FleetStatus:
        """Return the fleet's status from a leader that a quorum has confirmed."""
        request = StatusRequest(with_bundle=with_bundle)
        result = await self._call(STATUS_PATH, StatusRequest, request, timeout_s)
        return FleetStatus(failure=result) if isinstance(result, Failure) else result

    async def _call(
        self, path: str, request_type: Any, request: Any, timeout_s: float
    ) -> Any:
        response_type: Any = CommandResult if path == PROPOSE_PATH else FleetStatus
        attempt, reached = 0, False

        async def send(address: str) -> Any:
            nonlocal reached
            channel = self._channel(address)
            await channel.__connect__()
            # From here on the request may have run even if no response arrives.
            reached = True
            method: UnaryUnaryMethod[Any, Any] = UnaryUnaryMethod(
                channel, path, request_type, response_type
            )
            return await method(request, metadata=self._metadata)

        with anyio.move_on_after(timeout_s):
            while True:
                address = self.next_address()
                leader = ""
                try:
                    response = await run_isolated(send(address), ATTEMPT_TIMEOUT_S)
                    failure = response.failure
                    if failure is None or failure.kind is not ErrorKind.NOT_LEADER:
                        self.record_leader(address)
                        return response
                    leader = failure.leader
                except CONNECTION_ERRORS as error:
                    self.drop_connection(address, error)
                self.record_failure(address, leader)
                with anyio.move_on_after(self.retry_wait_s(attempt)):
                    await self._leader_found.wait()
                attempt += 1
        run_state = RunState.UNKNOWN if reached else RunState.NOT_RUN
        return Failure(
            ErrorKind.CONTROL_UNAVAILABLE,
            f"no leader answered within {timeout_s:g} s",
            run_state=run_state,
        )

    def _channel(self, address: str) -> RpcChannel:
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = RpcChannel(host.strip("[]"), int(port))
            self._channels[address] = channel
        return channel
