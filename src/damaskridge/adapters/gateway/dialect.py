"""What the gateway needs to know of the protocols that it forwards.

A dialect decodes headers into these types once, and encodes the headers that the
gateway sends. It decides nothing.
"""

from dataclasses import dataclass, field
from typing import Protocol

from result import Result

from damaskridge.adapters.gateway.connections import ResponseHead
from damaskridge.model.errors import Failure

__all__ = [
    "CallerRequest",
    "Dialect",
    "EngineCall",
    "EngineStep",
    "PrefillResponse",
    "Headers",
    "Refusal",
    "ResponseMetadata",
    "SendOptions",
]

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """
    A request as its caller sent it.

    Parameters
    ----------
    request_id : str
        The caller's id of this attempt.
    method : str
        HTTP method.
    target : bytes
        Path and query, unchanged.
    host_name, path : str
        What selects the route.
    key : str or None
        The caller's key.
    caller_timeout_s : float or None
        How long the caller will wait, in seconds.
    prompt_tokens, max_output_tokens : int
        Size of a generation: its prompt, and the most output.
    expected_output_tokens : int
        The caller's estimate of the output; 0 if it gave none.
    last_event_id : int or None
        The last event that the caller has of this stream.
    prompt_parts : tuple of (str, int)
        Parts of the prompt with their tokens; requests share the first ones.
    headers : list of (bytes, bytes)
        Headers that are passed on.
    """

    request_id: str
    method: str
    target: bytes
    host_name: str
    path: str
    key: str | None = None
    caller_timeout_s: float | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int = 0
    last_event_id: int | None = None
    prompt_parts: tuple[tuple[str, int], ...] = ()
    headers: Headers = field(default_factory=list)

    @property
    def has_size(self) -> bool:
        """Whether the caller named the size of a generation."""
        return self.prompt_tokens + self.max_output_tokens > 0


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineStep:
    """
    How a send takes part in a generation on separate engines.

    Parameters
    ----------
    is_prefill : bool
        Whether only the prompt is read.
    source_address, source_handle : str
        Engine and handle from which the KV cache is imported; empty for none.
    reservation : str
        Reservation of decode room that the send uses.
    priority : int or None
        Rank on the engine; 0 is the most urgent.
    """

    is_prefill: bool = False
    source_address: str = ""
    source_handle: str = ""
    reservation: str = ""
    priority: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SendOptions:
    """
    What the gateway adds to one send.

    Parameters
    ----------
    instance : str
        The only instance that may run it.
    remaining_s : float
        Time after which the backend server may stop.
    workspace : str
        The workspace that the caller's key belongs to; empty on public routes.
    step : EngineStep or None
        For model engines.
    last_event_id : int or None
        The event after which a stream goes on.
    """

    instance: str
    remaining_s: float
    workspace: str = ""
    step: EngineStep | None = None
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseMetadata:
    """
    What an answer says of its request.

    Parameters
    ----------
    request_id : str
        The request that the answer belongs to; empty if it does not say.
    did_not_run : bool
        Whether the backend server states that it did not run the request.
    is_signed : bool
        Whether the answer is the work of the backend server that ran the request.
    is_other_instance : bool
        Whether another instance than the expected one has the address.
    is_leaving : bool
        Whether the backend server says that it leaves.
    keep_alive_s : float or None
        How long the server keeps an idle connection.
    pause_s : float or None
        How long a server that turned the request away wants no other.
    """

    request_id: str = ""
    did_not_run: bool = False
    is_signed: bool = False
    is_other_instance: bool = False
    is_leaving: bool = False
    keep_alive_s: float | None = None
    pause_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class PrefillResponse:
    """An exported KV cache that waits to be imported."""

    handle: str
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class EngineCall:
    """A call to a model engine that is no caller's request."""

    method: str
    target: bytes
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer that the gateway gives by itself."""

    status: int
    headers: Headers
    body: bytes


class Dialect(Protocol):
    """Decodes requests and answers, and encodes sends and refusals."""

    def decode_request(
        self, method: str, target: bytes, headers: Headers
    ) -> Result[CallerRequest, Failure]:
        """Decode a caller's request."""
        ...

    def encode_headers(self, request: CallerRequest, options: SendOptions) -> Headers:
        """Return the headers of one send."""
        ...

    def decode_response_head(self, head: ResponseHead) -> ResponseMetadata:
        """Decode the head of a backend server's answer."""
        ...

    def decode_prefill_response(self, body: bytes) -> Result[PrefillResponse, str]:
        """Decode the answer to a prefill."""
        ...

    def release_handle_call(self, handle: str) -> EngineCall:
        """Return the call that frees an exported KV cache."""
        ...

    def reserve_call(self, tokens: int, duration_s: float) -> EngineCall:
        """Return the call that reserves a slot and memory of a decode engine."""
        ...

    def decode_reservation_response(self, body: bytes) -> Result[str, str]:
        """Decode the answer to a reservation."""
        ...

    def cancel_reservation_call(self, reservation: str) -> EngineCall:
        """Return the call that gives a reservation up."""
        ...

    def refusal(self, failure: Failure) -> Refusal:
        """Encode an answer of the gateway itself."""
        ...
