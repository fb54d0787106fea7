"""A stand-in for an instance of a plain service; records every call."""

import asyncio
from typing import Any

import fire

from examples.standins.asgi import Reply, encoded, serve

__all__ = ["main"]


def main(
    port: int, host: str = "127.0.0.1", name: str = "service", delay_s: float = 0.0
) -> None:
    """Run an instance; `GET /__calls` lists its calls with their headers."""
    calls: list[dict[str, Any]] = []

    async def handle(scope: dict[str, Any], body: bytes) -> Reply:
        if scope["path"] == "/__calls":
            return encoded(calls)
        headers = [
            [n.decode("latin-1"), v.decode("latin-1")] for n, v in scope["headers"]
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
        return encoded({"service": name, "call": len(calls), "path": scope["path"]})

    serve(handle, host, port)


if __name__ == "__main__":
    fire.Fire(main)
