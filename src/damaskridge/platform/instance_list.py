"""Client for the platform's list of backend servers."""

import asyncio
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from damaskridge.adapters.gateway.connections import ConnectionBroken, open_connection
from damaskridge.model.gateway import BackendInstance, EngineStage, InstanceList

__all__ = ["PlatformInstanceListReader"]

# Timeout of the request for one page.
PAGE_TIMEOUT_S = 1.0
# Bounds a read in case a faulty list links its pages without end.
MAX_PAGES = 200
MAX_PAGE_BYTES = 1_048_576

_STAGES = {"prefill": EngineStage.PREFILL, "decode": EngineStage.DECODE}


class _Page(msgspec.Struct, rename="pascal"):
    # Decoded one by one, so that a malformed entry does not affect the others.
    instances: list[msgspec.Raw]
    # Token of the next page; empty or missing on the last one.
    next: str | None = None


class _Entry(msgspec.Struct, rename="pascal"):
    id: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    phase: str = ""
    # Unix time of the start, in milliseconds; a restart may keep `id`.
    born: int = msgspec.field(default=0, name="born")


_decode_page = msgspec.json.Decoder(_Page).decode
_decode_entry = msgspec.json.Decoder(_Entry).decode


class PlatformInstanceListReader:
    """
    Reads the list of backend servers page by page.

    Parameters
    ----------
    address : str
        ``ip:port`` at which the platform serves the list.
    """

    def __init__(self, address: str) -> None:
        self._address = address

    async def read(self) -> Result[InstanceList, str]:
        """Read all pages and return the usable entries, or an error message."""
        entries: list[BackendInstance] = []
        token = ""
        for _ in range(MAX_PAGES):
            try:
                async with asyncio.timeout(PAGE_TIMEOUT_S):
                    page = _decode_page(await self._fetch_page(token))
            except TimeoutError:
                return Err(f"no page within {PAGE_TIMEOUT_S:g} s")
            except (ConnectionBroken, msgspec.DecodeError) as error:
                return Err(str(error))
            entries += filter(None, map(_decode_instance, page.instances))
            if not page.next:
                return Ok(InstanceList(instances=tuple(entries)))
            token = page.next
        return Err(f"more than {MAX_PAGES} pages")

    async def _fetch_page(self, token: str) -> bytes:
        connection = await open_connection(self._address, PAGE_TIMEOUT_S)
        target = "/instances" + (f"?PageToken={quote(token)}" if token else "")
        try:
            headers = [(b"host", self._address.encode()), (b"connection", b"close")]
            await connection.send("GET", target.encode(), headers, b"")
            head = await connection.head()
            body = await connection.read_body(MAX_PAGE_BYTES)
        finally:
            connection.close()
        if head.status != 200:
            raise ConnectionBroken(f"status {head.status}")
        return body


def _decode_instance(raw: msgspec.Raw) -> BackendInstance | None:
    """Decode an entry; returns None if it is malformed or not usable."""
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
        software_version=entry.version,
    )
