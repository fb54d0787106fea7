"""Bodies and headers of responses to callers."""

import math

import msgspec

from damaskridge.model.engine import DecodeChunk
from damaskridge.model.errors import Failure

__all__ = ["ResponseFormat", "error_body", "error_event", "retry_after_header"]


def error_body(failure: Failure, request_id: str) -> bytes:
    """Return the JSON body of an error response."""
    error = {
        "kind": failure.kind.value,
        "message": failure.detail or failure.kind.value.replace("_", " "),
        "run": failure.final_run_state.value,
        "request_id": request_id,
        "retry_after_s": failure.retry_after_s,
    }
    return msgspec.json.encode({"error": error})


def error_event(failure: Failure, request_id: str) -> bytes:
    """Return the event that ends a stream with an error after it has started."""
    return b"event: error\ndata: " + error_body(failure, request_id) + b"\n\n"


def retry_after_header(failure: Failure) -> list[tuple[bytes, bytes]]:
    """Return the ``Retry-After`` header, in whole seconds rounded up, if known."""
    if failure.retry_after_s is None:
        return []
    return [(b"retry-after", str(max(1, math.ceil(failure.retry_after_s))).encode())]


class ResponseFormat:
    """
    The OpenAI-compatible format of one response.

    Parameters
    ----------
    chat, completion : bool
        Which fields hold the text of a chunk. A resumed stream has the fields of
        both, because not every host knows the route of the original request.
    model : str
        Name of the model, if known.
    """

    def __init__(self, *, chat: bool, completion: bool, model: str = "") -> None:
        self._chat = chat
        self._completion = completion
        self._model = model

    def event(self, chunk: DecodeChunk, request_id: str) -> bytes:
        """Return the server-sent event of one chunk, with its offset as event id."""
        choice: dict[str, object] = {"index": 0, "finish_reason": chunk.finish_reason}
        if self._chat:
            choice["delta"] = {"content": chunk.text} if chunk.text else {}
        if self._completion:
            choice["text"] = chunk.text
        name = "chat.completion.chunk" if self._chat else "text_completion"
        data = msgspec.json.encode(self._body(name, request_id, choice))
        event = b"id: %d\ndata: %s\n\n" % (chunk.offset, data)
        return event + (b"data: [DONE]\n\n" if chunk.finish_reason else b"")

    def complete_body(
        self, texts: list[str], finish_reason: str, prompt_tokens: int, request_id: str
    ) -> bytes:
        """Return the body of a response that is not streamed."""
        text = "".join(texts)
        choice: dict[str, object] = {"index": 0, "finish_reason": finish_reason}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        name = "chat.completion" if self._chat else "text_completion"
        body = self._body(name, request_id, choice)
        body["usage"] = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": len(texts),
            "total_tokens": prompt_tokens + len(texts),
        }
        return msgspec.json.encode(body)

    def _body(
        self, name: str, request_id: str, choice: dict[str, object]
    ) -> dict[str, object]:
        return {
            "id": request_id,
            "object": name,
            "model": self._model,
            "choices": [choice],
        }
