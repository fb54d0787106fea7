"""Orders to model engines on the platform."""

import asyncio

import msgspec
from result import Err, Ok, Result

from damaskridge.adapters.gateway.connections import ConnectionBroken, open_connection
from damaskridge.model.gateway import BackendInstance, EngineStage

__all__ = ["PlatformOrders"]

CALL_S = 0.8
# Answers are small documents.
ANSWER_BYTES = 65_536
# 202: it is carried out; 200: it holds already.
_ACCEPTED = (200, 202)


class _Report(msgspec.Struct, rename="pascal"):
    # Orders that the engine has accepted since its start.
    seq: int
    # Whether an order is carried out now.
    busy: bool = False


class _Order(msgspec.Struct, rename="pascal"):
    op: str
    # What the platform calls a stage.
    phase: str
    # One machine, whatever process on it gives the order.
    holder: str
    fence: int
    # The number of orders that the engine must have accepted before this one.
    expected: int


_decode_report = msgspec.json.Decoder(_Report).decode


class PlatformOrders:
    """Implements `EngineOrderPort`."""

    async def order_stage(
        self, instance: BackendInstance, stage: EngineStage, holder: str, fence: int
    ) -> Result[None, str]:
        """Order a stage; an error may mean that the order is carried out late."""
        try:
            async with asyncio.timeout(CALL_S):
                report = await self._report(instance)
                if report.busy:
                    return Err("another order is in progress")
                order = _Order("Phase", stage.value, holder, fence, report.seq)
                status, _ = await self._call(
                    instance, "POST", b"/api/order", msgspec.json.encode(order)
                )
        except TimeoutError:
            return Err(f"no answer in {CALL_S:g} s")
        except (ConnectionBroken, msgspec.DecodeError) as error:
            return Err(str(error))
        return Ok(None) if status in _ACCEPTED else Err(f"status {status}")

    async def is_busy(self, instance: BackendInstance) -> Result[bool, str]:
        """Tell whether an engine carries out an order now."""
        try:
            async with asyncio.timeout(CALL_S):
                return Ok((await self._report(instance)).busy)
        except TimeoutError:
            return Err(f"no answer in {CALL_S:g} s")
        except (ConnectionBroken, msgspec.DecodeError) as error:
            return Err(str(error))

    async def _report(self, instance: BackendInstance) -> _Report:
        """Return an engine's report; raises `ConnectionBroken` or `DecodeError`."""
        status, body = await self._call(instance, "GET", b"/api/report", b"")
        if status != 200:
            raise ConnectionBroken(f"report: status {status}")
        return _decode_report(body)

    async def _call(
        self, instance: BackendInstance, method: str, target: bytes, body: bytes
    ) -> tuple[int, bytes]:
        connection = await open_connection(instance.address, CALL_S)
        try:
            headers = [
                (b"host", instance.address.encode()),
                (b"content-type", b"application/json"),
                (b"x-expect-instance", instance.instance.encode("latin-1")),
            ]
            await connection.send(method, target, headers, body)
            head = await connection.head()
            body = await connection.whole_body(ANSWER_BYTES)
        finally:
            connection.close()
        return head.status, body
