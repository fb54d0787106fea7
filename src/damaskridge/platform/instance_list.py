"""The platform's list of backend servers."""

import asyncio
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from damaskridge.adapters.gateway.connections import ConnectionBroken, open_connection
from damaskridge.model.gateway import BackendInstance, EngineStage, InstanceList

__all__ = ["PlatformInstanceList"]

# Longest time for one page.
PAGE_S = 1.0
# A list that never ends would keep its reader busy for good.
MOST_PAGES = 200
PAGE_BYTES = 1_048_576

_STAGES = {"prefill": EngineStage.PREFILL, "decode": EngineStage.DECODE}


class _Page(msgspec.Struct, rename="pascal"):
    # Entries are decoded one by one, because another writer may spoil some.
    instances: list[msgspec.Raw]
    # The token of the following page.
    next: str | None = None


class _Entry(msgspec.Struct, rename="pascal"):
    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: str
    phase: str = ""
    # Unix milliseconds of the runner's start; a restart may keep `id`.
    born: int = msgspec.field(default=0, name="born")


_decode_page = msgspec.json.Decoder(_Page).decode
_decode_entry = msgspec.json.Decoder(_Entry).decode


class PlatformInstanceList:
    """
    Reads the whole list.

    Parameters
    ----------
    address : str
        Where the platform serves it.
    """

    def __init__(self, address: str) -> None:
        self._address = address

    async def read(self) -> Result[InstanceList, str]:
        """Return every usable entry, or why the list could not be read."""
        entries: list[BackendInstance] = []
        token = ""
        for _ in range(MOST_PAGES):
            try:
                async with asyncio.timeout(PAGE_S):
                    page = _decode_page(await self._page(token))
            except TimeoutError:
                return Err(f"no page within {PAGE_S:g} s")
            except (ConnectionBroken, msgspec.DecodeError) as error:
                return Err(str(error))
            entries += filter(None, map(_instance, page.instances))
            if not page.next:
                return Ok(InstanceList(instances=tuple(entries)))
            token = page.next
        return Err(f"more than {MOST_PAGES} pages")

    async def _page(self, token: str) -> bytes:
        connection = await open_connection(self._address, PAGE_S)
        target = "/instances" + (f"?PageToken={quote(token)}" if token else "")
        try:
            headers = [(b"host", self._address.encode()), (b"connection", b"close")]
            await connection.send("GET", target.encode(), headers, b"")
            head = await connection.head()
            body = await connection.read_body(PAGE_BYTES)
        finally:
            connection.close()
        if head.status != 200:
            raise ConnectionBroken(f"status {head.status}")
        return body


def _instance(raw: msgspec.Raw) -> BackendInstance | None:
    """Return an entry, or None if it names no backend server to use."""
    try:
        entry = _decode_entry(raw)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    host, _, port = entry.address.rpartition(":")
    if entry.state not in ("ready", "draining") or not host or not port.isdigit():
        return None
    if entry.phase and entry.phase not in _STAGES:
        return None
    if not entry.id or entry.slots < 1:
        return None
    return BackendInstance(
        instance=entry.id,
        service=entry.service,
        address=entry.address,
        data_centre=entry.zone,
        slots=entry.slots,
        is_leaving=entry.state == "draining",
        stage=_STAGES.get(entry.phase),
        started_ms=entry.born,
    )
