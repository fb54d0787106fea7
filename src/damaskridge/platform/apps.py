"""What the platform calls: the directory, readiness, and the operators' API."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Protocol
from urllib.parse import parse_qs

import msgspec
from result import Result

from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.gateway import RoutingTable
from damaskridge.platform.config_document import decode_document

__all__ = ["RoutingPort", "directory_app", "operators_app", "ready_app"]

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
AsgiApp = Callable[[Message, Receive, Send], Awaitable[None]]

DOCUMENT_BYTES = 16_777_216

_JSON = [(b"content-type", b"application/json")]


class RoutingPort(Protocol):
    """The routing table as operators see it."""

    async def publish(self, table: RoutingTable, source: bytes) -> Result[int, Failure]:
        """Put a table in force; returns the version in force."""
        ...

    async def read(self) -> Result[bytes, Failure]:
        """Return the document in force, as a quorum confirms it; empty if none."""
        ...

    def leader_ip(self) -> str:
        """Return the address of the leader's machine, empty if it is unknown."""
        ...


class _Addresses(msgspec.Struct, rename="pascal"):
    # Addresses of entry hosts for callers, of at most 64 hosts.
    addresses: list[str]
    # How long the answer may be kept, in seconds.
    ttl_s: float


def directory_app(addresses: Callable[[str], list[str]], ttl_s: float) -> AsgiApp:
    """
    Return the application that tells callers where to connect.

    Parameters
    ----------
    addresses : callable
        Returns the addresses for a data centre.
    ttl_s : float
        How long callers may keep an answer, in seconds.
    """

    async def app(scope: Message, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        if scope["path"] != "/api/resolve" or scope["method"] != "GET":
            await _answer(send, 404)
            return
        query = parse_qs(bytes(scope["query_string"]).decode("latin-1"))
        found = addresses(query.get("Zone", [""])[0])
        if not found:
            await _answer(send, 503)
            return
        body = msgspec.json.encode(_Addresses(found, ttl_s))
        await _answer(send, 200, body, _JSON)

    return app


def ready_app(is_ready: Callable[[], bool]) -> AsgiApp:
    """Return the application that answers whether this entry host is ready."""

    async def app(scope: Message, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        if scope["path"] != "/api/ready":
            await _answer(send, 404)
            return
        await _answer(send, 200 if is_ready() else 503)

    return app


def operators_app(routing: RoutingPort, control_port: int) -> AsgiApp:
    """
    Return the application for operators.

    Parameters
    ----------
    routing : RoutingPort
        The replicated routing table.
    control_port : int
        The port of this application on every control host.
    """

    def refusal(failure: Failure) -> tuple[int, bytes, list[tuple[bytes, bytes]]]:
        ip = routing.leader_ip()
        if failure.kind is ErrorKind.NOT_LEADER and ip:
            location = f"http://{ip}:{control_port}/api/config".encode()
            return 307, b"", [(b"location", location)]
        if failure.kind is ErrorKind.INVALID_BUNDLE:
            return 400, failure.detail.encode(), []
        return failure.status, failure.detail.encode(), []

    async def put(receive: Receive) -> tuple[int, bytes, list[tuple[bytes, bytes]]]:
        body = await _body(receive)
        if body is None:
            return 413, b"", []
        decoded = decode_document(body)
        if decoded.is_err():
            return 400, decoded.unwrap_err().encode(), []
        published = await routing.publish(decoded.unwrap(), body)
        if published.is_err():
            return refusal(published.unwrap_err())
        return 200, b"{}", _JSON

    async def get() -> tuple[int, bytes, list[tuple[bytes, bytes]]]:
        document = await routing.read()
        if document.is_err():
            return refusal(document.unwrap_err())
        if not document.unwrap():
            return 503, b"no configuration yet", []
        return 200, document.unwrap(), _JSON

    async def app(scope: Message, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        if scope["path"] != "/api/config":
            await _answer(send, 404)
        elif scope["method"] == "PUT":
            await _answer(send, *await put(receive))
        elif scope["method"] == "GET":
            await _answer(send, *await get())
        else:
            await _answer(send, 405)

    return app


async def _body(receive: Receive) -> bytes | None:
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        body += message.get("body", b"")
        if len(body) > DOCUMENT_BYTES:
            return None
        if not message.get("more_body", False):
            return bytes(body)


async def _answer(
    send: Send,
    status: int,
    body: bytes = b"",
    headers: list[tuple[bytes, bytes]] | None = None,
) -> None:
    length = (b"content-length", b"%d" % len(body))
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*(headers or []), length],
        }
    )
    await send({"type": "http.response.body", "body": body})
