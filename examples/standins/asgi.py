"""A minimal ASGI server for the stand-ins."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import msgspec
import uvicorn

__all__ = ["Handler", "Response", "read_body", "serve"]

Response = tuple[int, bytes] | AsyncIterator[bytes]
Handler = Callable[[dict[str, Any], bytes], Awaitable[Response]]


async def read_body(receive: Callable[[], Awaitable[dict[str, Any]]]) -> bytes:
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body"):
            return body


def asgi_app(handler: Handler) -> Any:
    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        response = await handler(scope, await read_body(receive))
        status, body = (200, b"") if not isinstance(response, tuple) else response
        headers = [(b"content-type", b"application/json")]
        if isinstance(response, tuple):
            headers.append((b"content-length", str(len(body)).encode()))
        start = {"type": "http.response.start", "status": status, "headers": headers}
        await send(start)
        if not isinstance(response, tuple):
            async for chunk in response:
                message = {"type": "http.response.body", "body": chunk}
                await send({**message, "more_body": True})
        await send({"type": "http.response.body", "body": body})

    return app


class _Server(uvicorn.Server):
    """Prints its address as soon as it accepts connections."""

    async def startup(self, sockets: Any = None) -> None:
        await super().startup(sockets)
        print(f"ready {self.config.host}:{self.config.port}", flush=True)


def serve(handler: Handler, host: str, port: int) -> None:
    """Serve until a signal stops the process; print a line when ready."""
    config = uvicorn.Config(
        asgi_app(handler),
        host=host,
        port=port,
        loop="asyncio",
        http="h11",
        lifespan="off",
        log_level="error",
        access_log=False,
        timeout_keep_alive=30,
    )
    _Server(config).run()


def json_response(value: object, status: int = 200) -> tuple[int, bytes]:
    return status, msgspec.json.encode(value)
