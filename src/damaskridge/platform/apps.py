"""HTTP applications that the platform calls: directory, readiness and operators."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Protocol
from urllib.parse import parse_qs, unquote

import msgspec
from result import Result

from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.model.evacuations import EvacuationOrder
from damaskridge.model.gateway import RoutingTable
from damaskridge.platform.config_document import decode_document

__all__ = [
    "EvacuationStore",
    "RoutingTableStore",
    "directory_app",
    "operators_app",
    "ready_app",
]

AsgiMessage = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[AsgiMessage]]
Send = Callable[[AsgiMessage], Awaitable[None]]
AsgiApp = Callable[[AsgiMessage, Receive, Send], Awaitable[None]]

MAX_DOCUMENT_BYTES = 16_777_216

_CONFIG_PATH = "/api/config"
# Followed by the name of a data centre.
_EVACUATIONS_PATH = "/api/evacuations/"
_JSON_HEADERS = [(b"content-type", b"application/json")]


class RoutingTableStore(Protocol):
    """The replicated routing table, as the operators' application uses it."""

    async def publish(self, table: RoutingTable, source: bytes) -> Result[int, Failure]:
        """Activate a table, and return the version that is active afterwards."""
        ...

    async def read(self) -> Result[bytes, Failure]:
        """
        Return the active document, or an empty one if there is none yet.

        A quorum confirms that no newer document is active.
        """
        ...

    def leader_ip(self) -> str:
        """Return the IP address of the leader's host; empty if it is unknown."""
        ...


class EvacuationStore(Protocol):
    """The replicated evacuations, as the operators' application uses them."""

    async def order(self, order: EvacuationOrder) -> Result[None, Failure]:
        """Commit an order to evacuate a data centre, or to take it back."""
        ...


class _Addresses(msgspec.Struct, rename="pascal"):
    # Caller addresses of at most 64 entry hosts.
    addresses: list[str]
    # Time for which callers may cache the response, in seconds.
    ttl_s: float


def directory_app(addresses: Callable[[str], list[str]], ttl_s: float) -> AsgiApp:
    """
    Return the application that resolves the addresses of entry hosts for callers.

    Parameters
    ----------
    addresses : callable
        Returns the addresses for callers in a given data centre.
    ttl_s : float
        Time for which callers may cache a response, in seconds.
    """

    async def app(scope: AsgiMessage, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        if scope["path"] != "/api/resolve" or scope["method"] != "GET":
            await _respond(send, 404)
            return
        query = parse_qs(bytes(scope["query_string"]).decode("latin-1"))
        found = addresses(query.get("Zone", [""])[0])
        if not found:
            await _respond(send, 503)
            return
        body = msgspec.json.encode(_Addresses(found, ttl_s))
        await _respond(send, 200, body, _JSON_HEADERS)

    return app


def ready_app(is_ready: Callable[[], bool]) -> AsgiApp:
    """Return the application for the readiness probe of this entry host."""

    async def app(scope: AsgiMessage, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        if scope["path"] != "/api/ready":
            await _respond(send, 404)
            return
        await _respond(send, 200 if is_ready() else 503)

    return app


def operators_app(
    routing: RoutingTableStore, evacuations: EvacuationStore, control_port: int
) -> AsgiApp:
    """
    Return the application through which operators control the fleet.

    They write and read the configuration, evacuate data centres and take them back.

    Parameters
    ----------
    routing : RoutingTableStore
        The replicated routing table.
    evacuations : EvacuationStore
        The replicated evacuations.
    control_port : int
        The port of this application on every control host.
    """

    def failure_response(
        failure: Failure, path: str
    ) -> tuple[int, bytes, list[tuple[bytes, bytes]]]:
        ip = routing.leader_ip()
        if failure.kind is ErrorKind.NOT_LEADER and ip:
            location = f"http://{ip}:{control_port}{path}".encode("latin-1")
            return 307, b"", [(b"location", location)]
        if failure.kind is ErrorKind.INVALID_BUNDLE:
            return 400, failure.detail.encode(), []
        return failure.status, failure.detail.encode(), []

    async def put_document(
        receive: Receive,
    ) -> tuple[int, bytes, list[tuple[bytes, bytes]]]:
        body = await _read_body(receive)
        if body is None:
            return 413, b"", []
        decoded = decode_document(body)
        if decoded.is_err():
            return 400, decoded.unwrap_err().encode(), []
        published = await routing.publish(decoded.unwrap(), body)
        if published.is_err():
            return failure_response(published.unwrap_err(), _CONFIG_PATH)
        return 200, b"{}", _JSON_HEADERS

    async def get_document() -> tuple[int, bytes, list[tuple[bytes, bytes]]]:
        document = await routing.read()
        if document.is_err():
            return failure_response(document.unwrap_err(), _CONFIG_PATH)
        if not document.unwrap():
            return 503, b"no configuration yet", []
        return 200, document.unwrap(), _JSON_HEADERS

    async def put_evacuation(
        raw_path: str, is_evacuated: bool
    ) -> tuple[int, bytes, list[tuple[bytes, bytes]]]:
        order = EvacuationOrder(
            data_centre=unquote(raw_path.removeprefix(_EVACUATIONS_PATH)),
            is_evacuated=is_evacuated,
        )
        committed = await evacuations.order(order)
        if committed.is_err():
            return failure_response(committed.unwrap_err(), raw_path)
        return 200, b"{}", _JSON_HEADERS

    async def app(scope: AsgiMessage, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        raw_path = bytes(scope.get("raw_path") or scope["path"].encode())
        path = raw_path.decode("latin-1")
        if path.startswith(_EVACUATIONS_PATH):
            if scope["method"] in ("POST", "DELETE"):
                is_evacuated = scope["method"] == "POST"
                await _respond(send, *await put_evacuation(path, is_evacuated))
            else:
                await _respond(send, 405)
        elif scope["path"] != _CONFIG_PATH:
            await _respond(send, 404)
        elif scope["method"] == "PUT":
            await _respond(send, *await put_document(receive))
        elif scope["method"] == "GET":
            await _respond(send, *await get_document())
        else:
            await _respond(send, 405)

    return app


async def _read_body(receive: Receive) -> bytes | None:
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        body += message.get("body", b"")
        if len(body) > MAX_DOCUMENT_BYTES:
            return None
        if not message.get("more_body", False):
            return bytes(body)


async def _respond(
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
