"""Error kinds of requests and commands, with the HTTP status of each.

The list is closed; `ERROR_SPECS` has an entry for every kind.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec

__all__ = ["ERROR_SPECS", "ErrorSpec", "ErrorKind", "Failure", "RunState"]


class RunState(Enum):
    """Whether a backend server ran the request that failed."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class ErrorKind(Enum):
    """Reason for which a request or a command fails."""

    # Errors of callers
    INVALID_JSON = "invalid_json"
    INVALID_ENCODING = "invalid_encoding"
    INVALID_REQUEST = "invalid_request"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_ROUTE = "unknown_route"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    MISSING_KEY = "missing_key"
    MULTIPLE_KEYS = "multiple_keys"
    INVALID_KEY = "invalid_key"
    KEY_WITHDRAWN = "key_withdrawn"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TIMEOUT = "body_timeout"
    IDEMPOTENCY_KEY_MISSING = "idempotency_key_missing"
    IDEMPOTENCY_CONFLICT = "idempotency_conflict"
    IDEMPOTENCY_IN_PROGRESS = "idempotency_in_progress"
    UNKNOWN_REQUEST = "unknown_request"
    INVALID_OFFSET = "invalid_offset"
    REQUEST_QUARANTINED = "request_quarantined"
    CALLER_TOO_SLOW = "caller_too_slow"
    # Rate limits and overload
    RATE_EXCEEDED = "rate_exceeded"
    OVERLOADED = "overloaded"
    # State of the fleet
    LEASE_EXPIRED = "lease_expired"
    OWNER_UNAVAILABLE = "owner_unavailable"
    NO_BACKEND_SERVER = "no_backend_server"
    BACKEND_SERVER_FAILED = "backend_server_failed"
    BACKEND_SERVER_TIMEOUT = "backend_server_timeout"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STREAM_TAKEN_OVER = "stream_taken_over"
    CANCELLED = "cancelled"
    SHUTTING_DOWN = "shutting_down"
    NOT_LEADER = "not_leader"
    CONTROL_UNAVAILABLE = "control_unavailable"
    SESSION_ENDED = "session_ended"
    EPOCH_CONFLICT = "epoch_conflict"
    INTERNAL = "internal"
    # Errors of operators
    UNKNOWN_OPERATOR = "unknown_operator"
    INVALID_BUNDLE = "invalid_bundle"
    INVALID_SETTINGS = "invalid_settings"
    UNKNOWN_PROPOSAL = "unknown_proposal"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_NAME = "unknown_name"
    NOT_SIGNED_OFF = "not_signed_off"
    SELF_SIGN_OFF = "self_sign_off"
    VERSION_CONFLICT = "version_conflict"


@dataclass(frozen=True, slots=True)
class ErrorSpec:
    """
    Properties of an error kind.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    run_state : RunState
        Run state of a failure that does not carry its own.
    retryable : bool
        Whether a retry of the same request may succeed.
    """

    status: int
    run_state: RunState
    retryable: bool = False


_NOT_RUN = RunState.NOT_RUN
_UNKNOWN = RunState.UNKNOWN

ERROR_SPECS: dict[ErrorKind, ErrorSpec] = {
    ErrorKind.INVALID_JSON: ErrorSpec(400, _NOT_RUN),
    ErrorKind.INVALID_ENCODING: ErrorSpec(400, _NOT_RUN),
    ErrorKind.INVALID_REQUEST: ErrorSpec(400, _NOT_RUN),
    ErrorKind.UNKNOWN_MODEL: ErrorSpec(404, _NOT_RUN),
    ErrorKind.UNKNOWN_ROUTE: ErrorSpec(404, _NOT_RUN),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorSpec(405, _NOT_RUN),
    ErrorKind.MISSING_KEY: ErrorSpec(401, _NOT_RUN),
    ErrorKind.MULTIPLE_KEYS: ErrorSpec(400, _NOT_RUN),
    ErrorKind.INVALID_KEY: ErrorSpec(401, _NOT_RUN),
    ErrorKind.KEY_WITHDRAWN: ErrorSpec(401, _NOT_RUN),
    ErrorKind.BODY_TOO_LARGE: ErrorSpec(413, _NOT_RUN),
    ErrorKind.HEADERS_TOO_LARGE: ErrorSpec(431, _NOT_RUN),
    ErrorKind.BODY_TIMEOUT: ErrorSpec(408, _NOT_RUN, retryable=True),
    ErrorKind.IDEMPOTENCY_KEY_MISSING: ErrorSpec(400, _NOT_RUN),
    ErrorKind.IDEMPOTENCY_CONFLICT: ErrorSpec(422, _NOT_RUN),
    ErrorKind.IDEMPOTENCY_IN_PROGRESS: ErrorSpec(409, _UNKNOWN, retryable=True),
    ErrorKind.UNKNOWN_REQUEST: ErrorSpec(404, _UNKNOWN),
    ErrorKind.INVALID_OFFSET: ErrorSpec(416, _UNKNOWN),
    ErrorKind.REQUEST_QUARANTINED: ErrorSpec(422, _NOT_RUN),
    ErrorKind.CALLER_TOO_SLOW: ErrorSpec(408, RunState.RAN),
    ErrorKind.RATE_EXCEEDED: ErrorSpec(429, _NOT_RUN, retryable=True),
    ErrorKind.OVERLOADED: ErrorSpec(503, _NOT_RUN, retryable=True),
    ErrorKind.LEASE_EXPIRED: ErrorSpec(503, _NOT_RUN, retryable=True),
    ErrorKind.OWNER_UNAVAILABLE: ErrorSpec(503, _NOT_RUN, retryable=True),
    ErrorKind.NO_BACKEND_SERVER: ErrorSpec(503, _NOT_RUN, retryable=True),
    ErrorKind.BACKEND_SERVER_FAILED: ErrorSpec(502, _UNKNOWN, retryable=True),
    ErrorKind.BACKEND_SERVER_TIMEOUT: ErrorSpec(504, _UNKNOWN, retryable=True),
    ErrorKind.OUTCOME_UNKNOWN: ErrorSpec(502, _UNKNOWN),
    ErrorKind.STREAM_TAKEN_OVER: ErrorSpec(409, RunState.RAN),
    ErrorKind.CANCELLED: ErrorSpec(499, _UNKNOWN),
    ErrorKind.SHUTTING_DOWN: ErrorSpec(503, _NOT_RUN, retryable=True),
    ErrorKind.NOT_LEADER: ErrorSpec(503, _NOT_RUN, retryable=True),
    ErrorKind.CONTROL_UNAVAILABLE: ErrorSpec(503, _NOT_RUN, retryable=True),
    ErrorKind.SESSION_ENDED: ErrorSpec(503, _NOT_RUN, retryable=True),
    ErrorKind.EPOCH_CONFLICT: ErrorSpec(409, _NOT_RUN, retryable=True),
    ErrorKind.INTERNAL: ErrorSpec(500, _UNKNOWN, retryable=True),
    ErrorKind.UNKNOWN_OPERATOR: ErrorSpec(403, _NOT_RUN),
    ErrorKind.INVALID_BUNDLE: ErrorSpec(422, _NOT_RUN),
    ErrorKind.INVALID_SETTINGS: ErrorSpec(422, _NOT_RUN),
    ErrorKind.UNKNOWN_PROPOSAL: ErrorSpec(404, _NOT_RUN),
    ErrorKind.UNKNOWN_VERSION: ErrorSpec(404, _NOT_RUN),
    ErrorKind.UNKNOWN_NAME: ErrorSpec(404, _NOT_RUN),
    ErrorKind.NOT_SIGNED_OFF: ErrorSpec(409, _NOT_RUN),
    ErrorKind.SELF_SIGN_OFF: ErrorSpec(403, _NOT_RUN),
    ErrorKind.VERSION_CONFLICT: ErrorSpec(409, _NOT_RUN),
}


class Failure(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    The failure of a request or command, as reported to its sender.

    Parameters
    ----------
    kind : ErrorKind
        Reason of the failure.
    detail : str
        One line that names the offending value; never contains a key or a prompt.
    run_state : RunState or None
        Overrides the run state of `ERROR_SPECS` if the sender knows it.
    retry_after_s : float or None
        Time after which a retry may succeed, in seconds.
    leader : str
        For `NOT_LEADER`, the address of the leader, if known.
    """

    kind: ErrorKind
    detail: str = ""
    run_state: RunState | None = None
    retry_after_s: float | None = None
    leader: str = ""

    @property
    def final_run_state(self) -> RunState:
        """The run state of this failure, or else the default of its kind."""
        return self.run_state or ERROR_SPECS[self.kind].run_state

    @property
    def status(self) -> int:
        """The HTTP status of the response."""
        return ERROR_SPECS[self.kind].status
