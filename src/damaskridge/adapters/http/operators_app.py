"""The operators' port of every process: metrics, health and readiness."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from damaskridge.adapters.observability.metrics import Metrics

__all__ = ["operators_app"]

Message = MutableMapping[str, Any]
AsgiApp = Callable[
    [Message, Callable[[], Awaitable[Message]], Callable[[Message], Awaitable[None]]],
    Awaitable[None],
]
METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


def operators_app(metrics: Metrics, is_ready: Callable[[], bool]) -> AsgiApp:
    """
    Return the ASGI application of the operators' port.

    Parameters
    ----------
    metrics : Metrics
        Shown at ``/metrics``.
    is_ready : callable
        Whether the process does its work; ``/ready`` answers 503 otherwise.
    """

    def answer(method: str, path: str) -> tuple[int, bytes, bytes]:
        if method not in ("GET", "HEAD"):
            return 405, b"text/plain", b"method not allowed\n"
        if path == "/metrics":
            return 200, METRICS_TYPE, metrics.text()
        if path == "/health":
            return 200, b"text/plain", b"healthy\n"
        if path == "/ready":
            ready = is_ready()
            return (200, b"text/plain", b"ready\n") if ready else _NOT_READY
        return 404, b"text/plain", b"not found\n"

    async def app(
        scope: Message,
        receive: Callable[[], Awaitable[Message]],
        send: Callable[[Message], Awaitable[None]],
    ) -> None:
        if scope["type"] != "http":
            return
        status, content_type, body = answer(scope["method"], scope["path"])
        headers = [
            (b"content-type", content_type),
            (b"content-length", str(len(body)).encode()),
        ]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        content = b"" if scope["method"] == "HEAD" else body
        await send({"type": "http.response.body", "body": content})

    return app


_NOT_READY = (503, b"text/plain", b"not ready\n")
