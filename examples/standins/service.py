"""A stand-in for an instance of a service; records every call."""

import asyncio
from typing import Any

import fire

from examples.standins.asgi import Response, json_response, serve

__all__ = ["main"]


def main(
    port: int, host: str = "127.0.0.1", name: str = "service", delay_s: float = 0.0
) -> None:
    """Run an instance; `GET /__calls` returns its calls with their headers."""
    calls: list[dict[str, Any]] = []

    async def handle(scope: dict[str, Any], body: bytes) -> Response:
        if scope["path"] == "/__calls":
            return json_response(calls)
        headers = [
            [key.decode("latin-1"), value.decode("latin-1")]
            for key, value in scope["headers"]
        ]
        call = {
            "method": scope["method"],
            "path": scope["path"],
            "query": scope["query_string"].decode("latin-1"),
            "headers": headers,
            "body": body.decode("utf-8", "replace"),
        }
        calls.append(call)
        await asyncio.sleep(delay_s)
        return json_response(
            {"service": name, "call": len(calls), "path": scope["path"]}
        )

    serve(handle, host, port)


if __name__ == "__main__":
    fire.Fire(main)
