"""The interface between the gateway and the wire format of a platform.

A dialect decodes the headers of requests and responses into the types of this module,
and encodes what the gateway sends. It contains no forwarding logic.
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
    "Headers",
    "PrefillResponse",
    "Refusal",
    "ResponseMetadata",
    "SendOptions",
]

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """
    A caller's request, decoded.

    Parameters
    ----------
    request_id : str
        Identifier that the caller gave this attempt.
    method : str
        HTTP method.
    target : bytes
        Path and query string, unchanged.
    host_name, path : str
        Host name and path, by which the route is selected.
    key : str or None
        API key of the caller.
    caller_timeout_s : float or None
        How long the caller waits for the response, counted from arrival.
    prompt_tokens, max_output_tokens : int
        Length of the prompt, and the limit of the output.
    expected_output_tokens : int
        The caller's estimate of the output length; 0 if it gave none.
    last_event_id : int or None
        The last event of this stream that the caller has received.
    first_attempt_id : str
        The caller's attempt that brought the first event of this stream; empty if the
        caller named none.
    prompt_parts : tuple of (str, int)
        Identifiers and token counts of the parts of the prompt. Requests may have
        leading parts in common.
    headers : list of (bytes, bytes)
        Headers to forward to the backend server.
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
    first_attempt_id: str = ""
    prompt_parts: tuple[tuple[str, int], ...] = ()
    headers: Headers = field(default_factory=list)

    @property
    def is_taken_up(self) -> bool:
        """Whether the caller goes on with a stream that an earlier attempt began."""
        return bool(self.first_attempt_id or self.last_event_id)

    @property
    def has_size(self) -> bool:
        """Whether the caller gave the token counts of a generation."""
        return self.prompt_tokens + self.max_output_tokens > 0


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineStep:
    """
    The part of a generation that an engine is asked to perform.

    Parameters
    ----------
    is_prefill : bool
        Whether the engine only prefills and exports the KV cache.
    source_address, source_handle : str
        Address of the engine and handle from which the KV cache is imported; empty
        if there is none.
    reservation : str
        Reservation on the decode engine that the request uses; empty for none.
    priority : int or None
        Scheduling priority on the engine; 0 is the most urgent.
    """

    is_prefill: bool = False
    source_address: str = ""
    source_handle: str = ""
    reservation: str = ""
    priority: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SendOptions:
    """
    What the gateway adds to a request each time it sends it.

    Parameters
    ----------
    instance : str
        The only instance that may run the request.
    remaining_s : float
        Time after which the backend server may stop working on the request.
    workspace : str
        Workspace of the caller's key; empty on public routes.
    step : EngineStep or None
        What an engine is asked to perform; None for a plain service.
    last_event_id : int or None
        The event after which a stream is to resume.
    """

    instance: str
    remaining_s: float
    workspace: str = ""
    step: EngineStep | None = None
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseMetadata:
    """
    What the head of a response states about the request and the server.

    Parameters
    ----------
    request_id : str
        The request that the response belongs to; empty if it is not stated.
    did_not_run : bool
        Whether the backend server states that it did not run the request.
    is_signed : bool
        Whether the response carries the signature of the server that ran the request.
    is_other_instance : bool
        Whether the address now belongs to another instance than the expected one.
    is_leaving : bool
        Whether the backend server announces that it is shutting down.
    keep_alive_s : float or None
        How long the server keeps an idle connection open; None if not stated.
    pause_s : float or None
        How long a server that refused the request asks not to be sent another.
    states_limit : bool
        Whether the server states a limit of requests, even if it is malformed.
    limit_per_s : float or None
        Requests a second that the server accepts from all hosts together; None if it
        states no limit, or a malformed one.
    """

    request_id: str = ""
    did_not_run: bool = False
    is_signed: bool = False
    is_other_instance: bool = False
    is_leaving: bool = False
    keep_alive_s: float | None = None
    pause_s: float | None = None
    states_limit: bool = False
    limit_per_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class PrefillResponse:
    """The handle of an exported KV cache, and the tokens that it covers."""

    handle: str
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class EngineCall:
    """A call that the gateway itself makes to an engine, for no caller's request."""

    method: str
    target: bytes
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A response that the gateway itself gives instead of a backend server."""

    status: int
    headers: Headers
    body: bytes


class Dialect(Protocol):
    """Decodes requests and responses, and encodes headers, calls and refusals."""

    def decode_request(
        self, method: str, target: bytes, headers: Headers
    ) -> Result[CallerRequest, Failure]:
        """Decode a caller's request."""
        ...

    def encode_headers(self, request: CallerRequest, options: SendOptions) -> Headers:
        """Return the headers with which a request is sent to a backend server."""
        ...

    def handover_headers(self, headers: Headers, remaining_s: float) -> Headers:
        """Return a caller's headers for another host, with the time that is left."""
        ...

    def decode_response_head(self, head: ResponseHead) -> ResponseMetadata:
        """Decode the head of a backend server's response."""
        ...

    def decode_prefill_response(self, body: bytes) -> Result[PrefillResponse, str]:
        """Decode the response to a prefill."""
        ...

    def release_handle_call(self, handle: str) -> EngineCall:
        """Return the call that frees an exported KV cache."""
        ...

    def reserve_call(self, tokens: int, duration_s: float) -> EngineCall:
        """Return the call that reserves a slot and memory on a decode engine."""
        ...

    def decode_reservation_response(self, body: bytes) -> Result[str, str]:
        """Decode the response to `reserve_call` into the name of the reservation."""
        ...

    def cancel_reservation_call(self, reservation: str) -> EngineCall:
        """Return the call that cancels a reservation."""
        ...

    def refusal(self, failure: Failure) -> Refusal:
        """Encode a failure as the response to the caller."""
        ...
