"""Client for orders to model engines on the platform."""

import asyncio

import msgspec
from result import Err, Ok, Result

from damaskridge.adapters.gateway.connections import ConnectionBroken, open_connection
from damaskridge.model.gateway import BackendInstance, EngineStage
from damaskridge.platform.json_documents import Int64, decode_json

__all__ = ["PlatformOrderClient"]

CALL_TIMEOUT_S = 0.8
# Responses are small documents.
MAX_RESPONSE_BYTES = 65_536
# 202: the order is in progress; 200: the engine is already in the ordered state.
_ACCEPTED_STATUSES = (200, 202)


class _Report(msgspec.Struct, rename="pascal"):
    # Number of orders that the engine has accepted since its start.
    seq: Int64
    # Whether an order is in progress.
    busy: bool = False


class _Order(msgspec.Struct, rename="pascal"):
    op: str
    # The platform's name for a stage.
    phase: str
    # Host that sends the order; it stays the same across restarts of its process.
    holder: str
    # Fencing number.
    fence: int
    # Precondition: the number of orders that the engine has accepted before this one.
    expected: int


_decode_report = msgspec.json.Decoder(_Report).decode


class PlatformOrderClient:
    """Implements `EngineOrderPort` with the HTTP calls of the platform."""

    async def order_stage(
        self,
        instance: BackendInstance,
        stage: EngineStage,
        holder: str,
        fencing_number: int,
    ) -> Result[None, str]:
        """
        Order an engine to change to a stage.

        After an error the engine may still execute the order, for example after a
        timeout.
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                report = await self._fetch_report(instance)
                if report.busy:
                    return Err("another order is in progress")
                order = _Order("Phase", stage.value, holder, fencing_number, report.seq)
                status, _ = await self._call(
                    instance, "POST", b"/api/order", msgspec.json.encode(order)
                )
        except TimeoutError:
            return Err(f"no response within {CALL_TIMEOUT_S:g} s")
        except ConnectionBroken as error:
            return Err(str(error))
        return Ok(None) if status in _ACCEPTED_STATUSES else Err(f"status {status}")

    async def is_busy(self, instance: BackendInstance) -> Result[bool, str]:
        """Return whether an order is in progress on an engine."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return Ok((await self._fetch_report(instance)).busy)
        except TimeoutError:
            return Err(f"no response within {CALL_TIMEOUT_S:g} s")
        except ConnectionBroken as error:
            return Err(str(error))

    async def _fetch_report(self, instance: BackendInstance) -> _Report:
        """Fetch an engine's report; raises `ConnectionBroken` if it is malformed."""
        status, body = await self._call(instance, "GET", b"/api/report", b"")
        if status != 200:
            raise ConnectionBroken(f"report: status {status}")
        decoded = decode_json(_decode_report, body)
        if isinstance(decoded, Err):
            raise ConnectionBroken(f"report: {decoded.err_value}")
        return decoded.ok_value

    async def _call(
        self, instance: BackendInstance, method: str, target: bytes, body: bytes
    ) -> tuple[int, bytes]:
        connection = await open_connection(instance.address, CALL_TIMEOUT_S)
        try:
            headers = [
                (b"host", instance.address.encode()),
                (b"content-type", b"application/json"),
                (b"x-expect-instance", instance.instance.encode("latin-1")),
            ]
            await connection.send(method, target, headers, body)
            head = await connection.head()
            body = await connection.read_body(MAX_RESPONSE_BYTES)
        finally:
            connection.close()
        return head.status, body
