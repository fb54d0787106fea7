"""Decides how to continue after a send without a response for the caller.

Two guarantees hold. A request that may run at most once is not sent again after a send
with an unknown outcome. A refusal has the run state "not run" only if no send of the
request can have run.

>>> policy = SendPolicy(RouteKind.AT_MOST_ONCE, attempts=2)
>>> policy.after_not_run(left_s=1.0, may_retry=True)
Retry()
>>> policy.after_unknown(left_s=1.0, may_retry=True, timed_out=False).kind
<ErrorKind.BACKEND_SERVER_FAILED: 'backend_server_failed'>
"""

from dataclasses import dataclass

from damaskridge.model.errors import ErrorKind, Failure, RunState
from damaskridge.model.gateway import RouteKind

__all__ = ["Fail", "Retry", "SendPolicy"]

# Shortest response time of a backend server; a send with less time left can't succeed.
MIN_REMAINING_S = 0.02
# A refused send is retried only below this number of sends. More sends would only
# amplify an overload.
MAX_SENDS = 4


@dataclass(frozen=True, slots=True)
class Retry:
    """Send the request to another instance."""


@dataclass(frozen=True, slots=True)
class Fail:
    """Respond to the caller with a failure of this kind."""

    kind: ErrorKind
    run_state: RunState

    def failure(self, detail: str, retry_after_s: float | None = None) -> Failure:
        """Return the failure with a detail for the caller."""
        return Failure(self.kind, detail, self.run_state, retry_after_s)


class SendPolicy:
    """
    Counts the sends and runs of one request and decides on retries.

    Parameters
    ----------
    kind : RouteKind
        Whether the request may run more than once.
    attempts : int
        Maximum number of runs.
    is_resumable : bool
        Whether a stream may be resumed on another instance.
    """

    def __init__(
        self, kind: RouteKind, attempts: int, *, is_resumable: bool = False
    ) -> None:
        self._is_repeatable = kind is RouteKind.REPEATABLE or is_resumable
        self._attempts = max(1, attempts)
        self.sends = 0
        self.runs = 0

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self._is_repeatable

    @property
    def may_run_again(self) -> bool:
        """Whether another instance may run the request if the current run fails."""
        return self._is_repeatable and self.runs + 1 < self._attempts

    def record_send(self) -> None:
        """Record a send."""
        self.sends += 1

    def after_not_run(self, *, left_s: float, may_retry: bool) -> Retry | Fail:
        """
        Decide after a send that did not run.

        `may_retry` is whether the retry budget allows another send.
        """
        if may_retry and left_s > MIN_REMAINING_S and self.sends < MAX_SENDS:
            return Retry()
        if self.runs:
            return Fail(ErrorKind.BACKEND_SERVER_FAILED, RunState.UNKNOWN)
        return Fail(ErrorKind.OVERLOADED, RunState.NOT_RUN)

    def after_unknown(
        self, *, left_s: float, may_retry: bool, timed_out: bool
    ) -> Retry | Fail:
        """Decide after a send that may have run."""
        self.runs += 1
        if self._may_retry_run(left_s, may_retry):
            return Retry()
        kind = ErrorKind.BACKEND_SERVER_FAILED
        if timed_out:
            kind = ErrorKind.BACKEND_SERVER_TIMEOUT
        return Fail(kind, RunState.UNKNOWN)

    def after_failure(self, *, left_s: float, may_retry: bool) -> Retry | None:
        """Decide after a failure response; None forwards it to the caller."""
        self.runs += 1
        return Retry() if self._may_retry_run(left_s, may_retry) else None

    def _may_retry_run(self, left_s: float, may_retry: bool) -> bool:
        return (
            self._is_repeatable
            and self.runs < self._attempts
            and may_retry
            and left_s > MIN_REMAINING_S
        )
