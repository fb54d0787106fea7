"""Decodes and checks the bodies of callers' requests to models.

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
    "CompletionBody",
    "Message",
    "RequestError",
    "check_encoding",
    "decode_body",
    "output_limit",
]

_MESSAGES_LIMIT = 4096
_OUTPUT_LIMIT = 1_000_000

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Tokens = Annotated[int, msgspec.Meta(ge=1, le=_OUTPUT_LIMIT)]

T = TypeVar("T")


class RequestError(Exception):
    """A request is refused."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.kind.value)
        self.failure = failure


class Message(msgspec.Struct, frozen=True):
    """One message of a conversation."""

    role: Name
    content: str


class ChatBody(msgspec.Struct, frozen=True):
    """The body of ``/v1/chat/completions``; unknown fields are ignored."""

    model: Name
    messages: Annotated[
        list[Message], msgspec.Meta(min_length=1, max_length=_MESSAGES_LIMIT)
    ]
    max_tokens: Tokens | None = None
    max_completion_tokens: Tokens | None = None
    stream: bool = False

    @property
    def text(self) -> str:
        """The conversation as one prompt."""
        lines = [f"{message.role}: {message.content}\n" for message in self.messages]
        return "".join(lines) + "assistant:"

    @property
    def limit_tokens(self) -> int | None:
        """Most output tokens, if the caller names them."""
        return self.max_completion_tokens or self.max_tokens


class CompletionBody(msgspec.Struct, frozen=True):
    """The body of ``/v1/completions``; unknown fields are ignored."""

    model: Name
    prompt: Annotated[str, msgspec.Meta(min_length=1)]
    max_tokens: Tokens | None = None
    stream: bool = False

    @property
    def text(self) -> str:
        """The prompt."""
        return self.prompt

    @property
    def limit_tokens(self) -> int | None:
        """Most output tokens, if the caller names them."""
        return self.max_tokens


def check_encoding(headers: dict[str, str]) -> None:
    """Refuse bodies that are compressed or not UTF-8."""
    coding = headers.get("content-encoding", "identity").strip().lower()
    _, _, parameters = headers.get("content-type", "").lower().partition("charset=")
    charset = parameters.split(";")[0].strip(" \"'") or "utf-8"
    if coding != "identity" or charset not in ("utf-8", "utf8", "us-ascii"):
        raise RequestError(Failure(ErrorKind.INVALID_ENCODING, "only plain UTF-8"))


def decode_body(kind: type[T], body: bytes) -> T:
    """Return the decoded body; raises `RequestError`."""
    try:
        body.decode()
        return msgspec.json.decode(body, type=kind)
    except UnicodeDecodeError as error:
        failure = Failure(ErrorKind.INVALID_ENCODING, f"byte {error.start}")
    except msgspec.ValidationError as error:
        failure = Failure(ErrorKind.INVALID_REQUEST, str(error)[:200])
    except (msgspec.DecodeError, RecursionError) as error:
        failure = Failure(ErrorKind.INVALID_JSON, str(error)[:200])
    raise RequestError(failure)


def output_limit(
    model: Model, text: str, wanted_tokens: int | None, default_tokens: int
) -> int:
    """Return the most output tokens; raises `RequestError` if they do not fit."""
    room_tokens = model.context_tokens - estimate_tokens(text)
    if room_tokens < (wanted_tokens or 1):
        detail = f"prompt and output exceed {model.context_tokens} tokens"
        raise RequestError(Failure(ErrorKind.INVALID_REQUEST, detail))
    return wanted_tokens or min(default_tokens, room_tokens)
