"""What a front, a rate owner and a cell owner tell each other."""

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
    """Where a front is with a request."""

    QUEUED = "queued"
    PREFILLING = "prefilling"
    TRANSFERRING = "transferring"
    DECODING = "decoding"
    FINISHED = "finished"
    CANCELLED = "cancelled"


class RateRequest(msgspec.Struct, frozen=True, kw_only=True):
    """
    Asks the rate owner to admit a request.

    Parameters
    ----------
    resource, epoch : str, int
        The ownership that the front knows; an owner refuses another epoch.
    workspace : str
        Who pays.
    request_id : str
        The request; the same id is charged once.
    front : str
        The host that asks.
    cost_tokens : int
        Prompt tokens plus the most output tokens.
    idempotency_key : str
        The caller's key, or empty.
    body_digest : str
        Digest of the request's body, to refuse the same key with another body.
    wait_s : float
        Longest time for which the front is ready to wait.
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
    The request is within rate and burst.

    Parameters
    ----------
    request_id : str
        The request.
    epoch : int
        Epoch of the owner that granted.
    valid_for_s : float
        The front may start the request until this long after it *sent* the
        `RateRequest`, plus `waited_s`.
    waited_s : float
        How long the owner held the request before it granted.
    """

    request_id: str
    epoch: int
    valid_for_s: float
    waited_s: float = 0.0


class Duplicate(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Another request with the same idempotency key exists, on `front`."""

    request_id: str
    front: str
    finished: bool


class Refused(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The request was refused."""

    request_id: str
    failure: Failure


RateResponse = RateGrant | Duplicate | Refused


class Refund(msgspec.Struct, frozen=True, kw_only=True):
    """Gives back tokens that were granted in the same epoch but not used."""

    resource: str
    epoch: int
    workspace: str
    request_id: str
    tokens: int


class RequestProfile(msgspec.Struct, frozen=True, kw_only=True):
    """
    What the cell owner knows of a request; nothing here is set by the caller alone.

    Parameters
    ----------
    resource, epoch : str, int
        The ownership that the front knows.
    request_id : str
        The request.
    attempt : int
        Number of this attempt on engines, from 1.
    workspace : str
        Whose request it is.
    front : str
        The host that runs the request.
    incarnation : int
        The front's process.
    route : str
        Path by which the request came.
    model : str
        Model, or name of the plain service.
    prompt_tokens : int
        Estimated length of the prompt.
    max_output_tokens : int
        Most output tokens.
    prefix_hashes : tuple[int, ...]
        `prefix_block_hashes` of the prompt.
    fingerprint : str
        Digest of the model and the prompt, to find requests that crash engines.
    suspect : bool
        Whether the fingerprint was on an engine that crashed.
    waited_s : float
        Time since the front accepted the request.
    excluded : tuple[str, ...]
        Backend servers that failed an earlier attempt.
    crashed_server : str
        Backend server that broke off under the attempt before this one. The report
        of that attempt may arrive after this profile.
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
    Where a request runs; decode memory, slot and link are reserved.

    For a plain service `prefill_server` is empty and `decode_server` is the
    instance.

    Parameters
    ----------
    request_id, attempt : str, int
        The attempt that was placed.
    epoch : int
        Epoch of the cell owner.
    prefill_server, prefill_address : str
        Engine that prefills.
    decode_server, decode_address : str
        Engine that decodes.
    priority : int
        Priority for the engines; smaller runs first.
    transfer_deadline_s : float
        Longest time from the end of prefill to the first decoded token.
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
    How far one attempt is; a finished or cancelled phase ends it.

    `crashed` tells that `failed_server` broke off while it may have run the attempt;
    then `fingerprint` is the request's, and `suspect` that of the attempt's profile.
    `age_s` is the time since then, for a report that is sent again.
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
    """Progress of all requests of one front in one cell; also a heartbeat."""

    resource: str
    epoch: int
    front: str
    incarnation: int
    items: tuple[Progress, ...]


class ActiveRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A running request that its front registers with a new cell owner."""

    profile: RequestProfile
    placement: Placement
    phase: RequestPhase
    output_tokens: int = 0


class Withdraw(msgspec.Struct, frozen=True, kw_only=True):
    """The front gives up a request that may still be queued."""

    resource: str
    epoch: int
    request_id: str


class TakeOver(msgspec.Struct, frozen=True, kw_only=True):
    """Another front asks to continue a request whose front is gone."""

    resource: str
    epoch: int
    request_id: str
    workspace: str
    front: str
    incarnation: int


class TakeOverResponse(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What the new front needs, or why it may not continue."""

    failure: Failure | None = None
    active: ActiveRequest | None = None
