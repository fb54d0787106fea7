"""A stand-in for the platform's list of backend servers, updated with a delay."""

import asyncio
from typing import Any

import fire
import msgspec

from damaskridge.adapters.host_list.http_host_list import (
    ListedServer,
    ListedServerState,
)
from examples.standins.asgi import Response, json_response, serve

__all__ = ["main"]


def main(port: int, host: str = "127.0.0.1", lag_s: float = 1.0) -> None:
    """Serve the list; `POST /hosts` of a `ListedServer` updates it after `lag_s`."""
    states: dict[str, ListedServerState] = {}

    async def handle(scope: dict[str, Any], body: bytes) -> Response:
        if scope["method"] == "POST":
            change = msgspec.json.decode(body, type=ListedServer)
            loop = asyncio.get_running_loop()
            loop.call_later(lag_s, states.__setitem__, change.name, change.state)
            return 204, b""
        return json_response(
            [ListedServer(name, state) for name, state in states.items()]
        )

    serve(handle, host, port)


if __name__ == "__main__":
    fire.Fire(main)
