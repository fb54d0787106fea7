"""Messages between the front of a request, its rate owner and its cell owner.

The front is the entry host to which the caller is connected. The rate owner enforces
the rate limit of the workspace, and the cell owner schedules the backend servers.
"""

from enum import Enum

import msgspec

from damaskridge.model.errors import Failure

__all__ = [
    "ActiveRequest",
    "Duplicate",
    "Placement",
    "Progress",
    "ProgressBatch",
    "RateGrant",
    "RateResponse",
    "RateRequest",
    "Refund",
    "Refused",
    "RequestPhase",
    "RequestProfile",
    "SubmitResponse",
    "TakeOver",
    "TakeOverResponse",
    "Withdraw",
]


class RequestPhase(Enum):
    """Phase of a request, as its front sees it."""

    QUEUED = "queued"
    PREFILLING = "prefilling"
    TRANSFERRING = "transferring"
    DECODING = "decoding"
    FINISHED = "finished"
    CANCELLED = "cancelled"


class RateRequest(msgspec.Struct, frozen=True, kw_only=True):
    """
    Requests the rate owner to admit a request.

    Parameters
    ----------
    resource, epoch : str, int
        Ownership that the front knows; the owner refuses a different epoch.
    workspace : str
        Workspace that is charged.
    request_id : str
        Identifier of the request; it is charged once, also if the message is retried.
    front : str
        Host that sends the message.
    cost_tokens : int
        Prompt tokens plus the maximum number of output tokens.
    idempotency_key : str
        The caller's idempotency key, or empty.
    body_digest : str
        Digest of the request body, to refuse the same key with a different body.
    wait_s : float
        Maximum time for which the owner may queue the request, in seconds.
    """

    resource: str
    epoch: int
    workspace: str
    request_id: str
    front: str
    cost_tokens: int
    idempotency_key: str = ""
    body_digest: str = ""
    wait_s: float = 0.0


class RateGrant(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """
    Admits a request within the rate limit.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    epoch : int
        Epoch of the owner that admitted it.
    valid_for_s : float
        The front may start the request until this long after it *sent* the
        `RateRequest`, plus `waited_s`.
    waited_s : float
        Time for which the owner queued the request, in seconds.
    """

    request_id: str
    epoch: int
    valid_for_s: float
    waited_s: float = 0.0


class Duplicate(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Refers to an earlier request with the same idempotency key, on `front`."""

    request_id: str
    front: str
    finished: bool


class Refused(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Refuses a request."""

    request_id: str
    failure: Failure


RateResponse = RateGrant | Duplicate | Refused


class Refund(msgspec.Struct, frozen=True, kw_only=True):
    """Returns unused tokens, which count only in the epoch that granted them."""

    resource: str
    epoch: int
    workspace: str
    request_id: str
    tokens: int


class RequestProfile(msgspec.Struct, frozen=True, kw_only=True):
    """
    A request for the cell owner to schedule; no field is set by the caller alone.

    Parameters
    ----------
    resource, epoch : str, int
        Ownership that the front knows.
    request_id : str
        Identifier of the request.
    attempt : int
        Number of this attempt on engines, from 1.
    workspace : str
        Workspace of the caller.
    front : str
        Host that the caller is connected to.
    incarnation : int
        Identifies the process of the front.
    route : str
        Path of the caller's request.
    model : str
        Name of the model or plain service.
    prompt_tokens : int
        Estimated length of the prompt.
    max_output_tokens : int
        Maximum number of output tokens.
    prefix_hashes : tuple[int, ...]
        `prefix_block_hashes` of the prompt.
    fingerprint : str
        Digest of the model and the prompt, to detect requests that crash engines.
    suspect : bool
        Whether a request with this fingerprint ran on an engine as it crashed.
    waited_s : float
        Time since the front accepted the request, in seconds.
    excluded : tuple[str, ...]
        Backend servers that failed an earlier attempt.
    crashed_server : str
        Backend server that was lost during the previous attempt. It is repeated here
        because the `Progress` of that attempt may arrive later than this profile.
    """

    resource: str
    epoch: int
    request_id: str
    attempt: int
    workspace: str
    front: str
    incarnation: int
    route: str
    model: str
    prompt_tokens: int
    max_output_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    fingerprint: str = ""
    suspect: bool = False
    waited_s: float = 0.0
    excluded: tuple[str, ...] = ()
    crashed_server: str = ""


class Placement(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """
    Assigns a request to engines.

    Memory and a slot on the decode engine and time on the link are reserved for it.
    For a plain service, `prefill_server` is empty and `decode_server` runs the call.

    Parameters
    ----------
    request_id, attempt : str, int
        Attempt that is placed.
    epoch : int
        Epoch of the cell owner.
    prefill_server, prefill_address : str
        Engine that runs the prefill.
    decode_server, decode_address : str
        Engine that runs the decode.
    priority : int
        Priority on the engines; smaller numbers run first.
    transfer_deadline_s : float
        Timeout from the end of the prefill to the first decoded token, which covers
        the transfer of the KV cache, in seconds.
    """

    request_id: str
    attempt: int
    epoch: int
    prefill_server: str = ""
    prefill_address: str = ""
    decode_server: str = ""
    decode_address: str = ""
    priority: int = 0
    transfer_deadline_s: float = 1.0


SubmitResponse = Placement | Refused


class Progress(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """
    Reports the progress of one attempt; it ends with `FINISHED` or `CANCELLED`.

    Parameters
    ----------
    request_id, attempt : str, int
        The attempt.
    phase : RequestPhase
        Present phase.
    output_tokens : int
        Number of output tokens so far.
    first_token_s : float or None
        Time to the first token, in seconds, if there is one.
    failed_server : str
        Backend server that failed the attempt, or empty.
    crashed : bool
        Whether the connection to `failed_server` was lost while it may have been
        running the attempt.
    fingerprint, suspect : str, bool
        If `crashed` is set, the values of the profile of the attempt.
    age_s : float
        Time since the loss of the server, in seconds, if the report is retried.
    """

    request_id: str
    attempt: int
    phase: RequestPhase
    output_tokens: int = 0
    first_token_s: float | None = None
    failed_server: str = ""
    crashed: bool = False
    fingerprint: str = ""
    suspect: bool = False
    age_s: float = 0.0


class ProgressBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Reports all requests of one front in one cell; also serves as a heartbeat."""

    resource: str
    epoch: int
    front: str
    incarnation: int
    items: tuple[Progress, ...]


class ActiveRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Registers a running request of a front with a new cell owner."""

    profile: RequestProfile
    placement: Placement
    phase: RequestPhase
    output_tokens: int = 0


class Withdraw(msgspec.Struct, frozen=True, kw_only=True):
    """Cancels a request, which may still be queued by the cell owner."""

    resource: str
    epoch: int
    request_id: str


class TakeOver(msgspec.Struct, frozen=True, kw_only=True):
    """Requests to continue on another front a request whose front is lost."""

    resource: str
    epoch: int
    request_id: str
    workspace: str
    front: str
    incarnation: int


class TakeOverResponse(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The request to continue, or why the new front must not continue it."""

    failure: Failure | None = None
    active: ActiveRequest | None = None
