"""Client for the platform's list of backend servers."""

import asyncio
import ipaddress
from typing import Annotated
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from damaskridge.adapters.gateway.connections import ConnectionBroken, open_connection
from damaskridge.model.gateway import BackendInstance, EngineStage, InstanceList
from damaskridge.platform.json_documents import (
    HeaderText,
    decode_json,
    split_array,
    split_object,
)

__all__ = ["PlatformInstanceListReader"]

# Timeout of the request for one page.
PAGE_TIMEOUT_S = 1.0
# Bounds a read in case a faulty list links its pages without end.
MAX_PAGES = 200
MAX_PAGE_BYTES = 1_048_576
MAX_SLOTS = 1_000_000
# The year 5138; a larger number is no Unix time in milliseconds.
MAX_UNIX_MS = 10**14
MAX_TEXT_LENGTH = 256
# A longer time is a fault of the list; a server is cold for seconds.
MAX_COLD_MS = 3_600_000

_Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)]
_STAGES = {"prefill": EngineStage.PREFILL, "decode": EngineStage.DECODE}


class _Entry(msgspec.Struct, rename="pascal"):
    id: HeaderText
    service: _Text
    address: _Text
    zone: _Text
    version: _Text
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: _Text
    phase: _Text = ""
    # Unix time of the start, in milliseconds; a restart may keep `id`.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)] = msgspec.field(
        default=0, name="born"
    )
    # Time for which the backend server stays cold, in milliseconds.
    cold_left_ms: Annotated[float, msgspec.Meta(le=MAX_COLD_MS)] | None = None


# Token of the next page; empty or missing on the last one.
_decode_token = msgspec.json.Decoder(str | None).decode
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
        cold_left_s: dict[str, float | None] = {}
        token = ""
        for calls in range(1, MAX_PAGES + 1):
            try:
                async with asyncio.timeout(PAGE_TIMEOUT_S):
                    body = await self._fetch_page(token)
            except TimeoutError:
                return Err(f"no page within {PAGE_TIMEOUT_S:g} s")
            except ConnectionBroken as error:
                return Err(str(error))
            page = decode_json(_split_page, body)
            if isinstance(page, Err):
                return page
            items, next_token = page.ok_value
            for item in items:
                entry = _decode_usable_entry(item)
                if entry is not None:
                    entries.append(_to_instance(entry))
                    cold_left_s.update(_cold_left_s(entry))
            if not next_token:
                return Ok(
                    InstanceList(
                        instances=tuple(entries), calls=calls, cold_left_s=cold_left_s
                    )
                )
            token = next_token
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


def _split_page(body: bytes) -> tuple[list[bytes], str | None]:
    """Return the entries, which may be malformed, and the token of the next page."""
    members = split_object(body)
    if "Instances" not in members:
        raise ValueError("the page has no Instances")
    next_token = _decode_token(members.get("Next", b"null"))
    return split_array(members["Instances"]), next_token


def _decode_usable_entry(raw: bytes) -> _Entry | None:
    """Decode an entry; returns None if it is malformed or not usable."""
    decoded = decode_json(_decode_entry, raw)
    if isinstance(decoded, Err):
        return None
    entry = decoded.ok_value
    if entry.state not in ("ready", "draining") or not _is_address(entry.address):
        return None
    if entry.phase and entry.phase not in _STAGES:
        return None
    return entry


def _to_instance(entry: _Entry) -> BackendInstance:
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


def _cold_left_s(entry: _Entry) -> dict[str, float | None]:
    """Return how long an instance stays cold; nothing if it is not cold."""
    if entry.cold_left_ms is None:
        return {entry.id: None}
    left_s = entry.cold_left_ms / 1000
    return {entry.id: left_s} if left_s > 0 else {}


def _is_address(text: str) -> bool:
    """Return whether a text is ``ip:port``."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdecimal() and len(port) <= 5):
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 < int(port) <= 65_535
