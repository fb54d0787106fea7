"""Decoding and validation of the bodies of model requests.

>>> decode_body(CompletionBody, b'{"model": "m", "prompt": "p"}').prompt
'p'
"""

from typing import Annotated, TypeVar

import msgspec

from damaskridge.model.bundle import Model
from damaskridge.model.engine import estimate_tokens
from damaskridge.model.errors import ErrorKind, Failure

__all__ = [
    "ChatBody",
    "ChatMessage",
    "CompletionBody",
    "RequestError",
    "check_encoding",
    "decode_body",
    "output_limit",
]

_MAX_MESSAGES = 4096
_MAX_OUTPUT_TOKENS = 1_000_000

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
TokenCount = Annotated[int, msgspec.Meta(ge=1, le=_MAX_OUTPUT_TOKENS)]

T = TypeVar("T")


class RequestError(Exception):
    """The request is refused with `failure`."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.kind.value)
        self.failure = failure


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a conversation."""

    role: Name
    content: str


class ChatBody(msgspec.Struct, frozen=True):
    """The body of ``/v1/chat/completions``; unknown fields are ignored."""

    model: Name
    messages: Annotated[
        list[ChatMessage], msgspec.Meta(min_length=1, max_length=_MAX_MESSAGES)
    ]
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    stream: bool = False

    @property
    def text(self) -> str:
        """The conversation as a single prompt."""
        lines = [f"{message.role}: {message.content}\n" for message in self.messages]
        return "".join(lines) + "assistant:"

    @property
    def requested_output_tokens(self) -> int | None:
        """The caller's limit of output tokens, or None."""
        return self.max_completion_tokens or self.max_tokens


class CompletionBody(msgspec.Struct, frozen=True):
    """The body of ``/v1/completions``; unknown fields are ignored."""

    model: Name
    prompt: Annotated[str, msgspec.Meta(min_length=1)]
    max_tokens: TokenCount | None = None
    stream: bool = False

    @property
    def text(self) -> str:
        """The prompt."""
        return self.prompt

    @property
    def requested_output_tokens(self) -> int | None:
        """The caller's limit of output tokens, or None."""
        return self.max_tokens


def check_encoding(headers: dict[str, str]) -> None:
    """Raise `RequestError` if the headers declare a compressed or non-UTF-8 body."""
    content_encoding = headers.get("content-encoding", "identity").strip().lower()
    _, _, parameters = headers.get("content-type", "").lower().partition("charset=")
    charset = parameters.split(";")[0].strip(" \"'") or "utf-8"
    if content_encoding != "identity" or charset not in ("utf-8", "utf8", "us-ascii"):
        raise RequestError(Failure(ErrorKind.INVALID_ENCODING, "only plain UTF-8"))


def decode_body(body_type: type[T], body: bytes) -> T:
    """Decode and validate a body; raise `RequestError` if it is invalid."""
    try:
        body.decode()
        return msgspec.json.decode(body, type=body_type)
    except UnicodeDecodeError as error:
        failure = Failure(ErrorKind.INVALID_ENCODING, f"byte {error.start}")
    except msgspec.ValidationError as error:
        failure = Failure(ErrorKind.INVALID_REQUEST, str(error)[:200])
    except (msgspec.DecodeError, RecursionError) as error:
        failure = Failure(ErrorKind.INVALID_JSON, str(error)[:200])
    raise RequestError(failure)


def output_limit(
    model: Model, text: str, requested_tokens: int | None, default_tokens: int
) -> int:
    """
    Return the limit of output tokens of a request.

    Raises `RequestError` if prompt and output exceed the context of the model.
    """
    available_tokens = model.context_tokens - estimate_tokens(text)
    if available_tokens < (requested_tokens or 1):
        detail = f"prompt and output exceed {model.context_tokens} tokens"
        raise RequestError(Failure(ErrorKind.INVALID_REQUEST, detail))
    return requested_tokens or min(default_tokens, available_tokens)
