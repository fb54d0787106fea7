"""The ASGI application for operators: metrics, health and readiness."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from damaskridge.adapters.observability.metrics import Metrics

__all__ = ["AsgiApp", "JsonPage", "operators_app"]

AsgiMessage = MutableMapping[str, Any]
AsgiApp = Callable[
    [
        AsgiMessage,
        Callable[[], Awaitable[AsgiMessage]],
        Callable[[AsgiMessage], Awaitable[None]],
    ],
    Awaitable[None],
]
METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


# Returns the status and the JSON body for a query string.
JsonPage = Callable[[bytes], tuple[int, bytes]]


def operators_app(
    metrics: Metrics,
    is_ready: Callable[[], bool],
    explain: JsonPage | None = None,
) -> AsgiApp:
    """
    Return the ASGI application for the operators' address of a process.

    Parameters
    ----------
    metrics : Metrics
        Served at ``/metrics``.
    is_ready : callable
        Whether the process is ready; ``/ready`` responds with 503 otherwise.
    explain : callable or None
        Answers ``/explain``, if given.
    """

    def respond(method: str, path: str, query: bytes) -> tuple[int, bytes, bytes]:
        if method not in ("GET", "HEAD"):
            return 405, b"text/plain", b"method not allowed\n"
        if path == "/metrics":
            return 200, METRICS_CONTENT_TYPE, metrics.text()
        if path == "/health":
            return 200, b"text/plain", b"healthy\n"
        if path == "/explain" and explain is not None:
            status, body = explain(query)
            return status, b"application/json", body
        if path == "/ready":
            ready = is_ready()
            return (200, b"text/plain", b"ready\n") if ready else _NOT_READY
        return 404, b"text/plain", b"not found\n"

    async def app(
        scope: AsgiMessage,
        receive: Callable[[], Awaitable[AsgiMessage]],
        send: Callable[[AsgiMessage], Awaitable[None]],
    ) -> None:
        if scope["type"] != "http":
            return
        status, content_type, body = respond(
            scope["method"], scope["path"], scope.get("query_string", b"")
        )
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
