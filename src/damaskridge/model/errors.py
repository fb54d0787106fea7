"""The closed list of error kinds and the table from kind to answer."""

from dataclasses import dataclass
from enum import Enum

import msgspec

__all__ = ["ANSWERS", "Answer", "ErrorKind", "Failure", "RunState"]


class RunState(Enum):
    """Whether the request behind a failure was run by a backend server."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class ErrorKind(Enum):
    """Every reason for which a request or a command fails."""

    # Mistakes of a caller
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
    # Limits and load
    RATE_EXCEEDED = "rate_exceeded"
    OVERLOADED = "overloaded"
    # The fleet
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
    # Mistakes of an operator
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
class Answer:
    """The HTTP status and the default run state of one error kind."""

    status: int
    run_state: RunState
    retryable: bool = False


_NOT_RUN = RunState.NOT_RUN
_UNKNOWN = RunState.UNKNOWN

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.INVALID_JSON: Answer(400, _NOT_RUN),
    ErrorKind.INVALID_ENCODING: Answer(400, _NOT_RUN),
    ErrorKind.INVALID_REQUEST: Answer(400, _NOT_RUN),
    ErrorKind.UNKNOWN_MODEL: Answer(404, _NOT_RUN),
    ErrorKind.UNKNOWN_ROUTE: Answer(404, _NOT_RUN),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(405, _NOT_RUN),
    ErrorKind.MISSING_KEY: Answer(401, _NOT_RUN),
    ErrorKind.MULTIPLE_KEYS: Answer(400, _NOT_RUN),
    ErrorKind.INVALID_KEY: Answer(401, _NOT_RUN),
    ErrorKind.KEY_WITHDRAWN: Answer(401, _NOT_RUN),
    ErrorKind.BODY_TOO_LARGE: Answer(413, _NOT_RUN),
    ErrorKind.HEADERS_TOO_LARGE: Answer(431, _NOT_RUN),
    ErrorKind.BODY_TIMEOUT: Answer(408, _NOT_RUN, retryable=True),
    ErrorKind.IDEMPOTENCY_KEY_MISSING: Answer(400, _NOT_RUN),
    ErrorKind.IDEMPOTENCY_CONFLICT: Answer(422, _NOT_RUN),
    ErrorKind.IDEMPOTENCY_IN_PROGRESS: Answer(409, _UNKNOWN, retryable=True),
    ErrorKind.UNKNOWN_REQUEST: Answer(404, _UNKNOWN),
    ErrorKind.INVALID_OFFSET: Answer(416, _UNKNOWN),
    ErrorKind.REQUEST_QUARANTINED: Answer(422, _NOT_RUN),
    ErrorKind.CALLER_TOO_SLOW: Answer(408, RunState.RAN),
    ErrorKind.RATE_EXCEEDED: Answer(429, _NOT_RUN, retryable=True),
    ErrorKind.OVERLOADED: Answer(503, _NOT_RUN, retryable=True),
    ErrorKind.LEASE_EXPIRED: Answer(503, _NOT_RUN, retryable=True),
    ErrorKind.OWNER_UNAVAILABLE: Answer(503, _NOT_RUN, retryable=True),
    ErrorKind.NO_BACKEND_SERVER: Answer(503, _NOT_RUN, retryable=True),
    ErrorKind.BACKEND_SERVER_FAILED: Answer(502, _UNKNOWN, retryable=True),
    ErrorKind.BACKEND_SERVER_TIMEOUT: Answer(504, _UNKNOWN, retryable=True),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, _UNKNOWN),
    ErrorKind.STREAM_TAKEN_OVER: Answer(409, RunState.RAN),
    ErrorKind.CANCELLED: Answer(499, _UNKNOWN),
    ErrorKind.SHUTTING_DOWN: Answer(503, _NOT_RUN, retryable=True),
    ErrorKind.NOT_LEADER: Answer(503, _NOT_RUN, retryable=True),
    ErrorKind.CONTROL_UNAVAILABLE: Answer(503, _NOT_RUN, retryable=True),
    ErrorKind.SESSION_ENDED: Answer(503, _NOT_RUN, retryable=True),
    ErrorKind.EPOCH_CONFLICT: Answer(409, _NOT_RUN, retryable=True),
    ErrorKind.INTERNAL: Answer(500, _UNKNOWN, retryable=True),
    ErrorKind.UNKNOWN_OPERATOR: Answer(403, _NOT_RUN),
    ErrorKind.INVALID_BUNDLE: Answer(422, _NOT_RUN),
    ErrorKind.INVALID_SETTINGS: Answer(422, _NOT_RUN),
    ErrorKind.UNKNOWN_PROPOSAL: Answer(404, _NOT_RUN),
    ErrorKind.UNKNOWN_VERSION: Answer(404, _NOT_RUN),
    ErrorKind.UNKNOWN_NAME: Answer(404, _NOT_RUN),
    ErrorKind.NOT_SIGNED_OFF: Answer(409, _NOT_RUN),
    ErrorKind.SELF_SIGN_OFF: Answer(403, _NOT_RUN),
    ErrorKind.VERSION_CONFLICT: Answer(409, _NOT_RUN),
}


class Failure(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    A failed request or command, with what the other side needs to act on it.

    Parameters
    ----------
    kind : ErrorKind
        The reason.
    detail : str
        One line that names the offending value. Never a key or a prompt.
    run_state : RunState or None
        Overrides the default of `ANSWERS` where more is known.
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
    def ran(self) -> RunState:
        """The run state, from this failure or else from the table."""
        return self.run_state or ANSWERS[self.kind].run_state

    @property
    def status(self) -> int:
        """The HTTP status of the answer."""
        return ANSWERS[self.kind].status
