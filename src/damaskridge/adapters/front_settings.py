"""Settings of a front."""

from dataclasses import dataclass

from damaskridge.core.requests.messages import RetryLimits

__all__ = ["FrontSettings"]


@dataclass(frozen=True, slots=True)
class FrontSettings:
    """
    Times and limits of one entry host.

    Parameters
    ----------
    rate_wait_s : float
        Longest wait for a request slightly above its rate.
    owner_wait_s : float
        Longest wait for an unknown or unreachable owner. A session lasts 3 s and an
        election about 1 s, so a lost owner is replaced well within it.
    ask_again_s : float
        Pause before an owner is asked again.
    silence_s, prefill_s, attempts, crashes : float, float, int, int
        See `RetryLimits`.
    body_limit_bytes, body_wait_s : int, float
        Largest body of a caller, and longest time until it is complete.
    write_timeout_s : float
        Longest time for which a caller may leave its stream unread.
    keep_s : float
        How long callers may cache the address list.
    resume_grace_s : float
        How long a stream that began runs on after its caller disconnected.
    retain_s, retain_requests : float, int
        How long, and how many, finished answers stay readable.
    service_timeout_s : float
        Longest call to a plain service.
    default_output_tokens : int
        Output tokens of a request that names no limit.
    progress_s : float
        Interval of progress batches.
    check_s : float
        Interval of looking for changed owners and withdrawn keys.
    """

    rate_wait_s: float = 2.0
    owner_wait_s: float = 8.0
    ask_again_s: float = 0.1
    silence_s: float = 1.5
    prefill_s: float = 30.0
    attempts: int = 4
    crashes: int = 2
    body_limit_bytes: int = 1_048_576
    body_wait_s: float = 10.0
    write_timeout_s: float = 10.0
    keep_s: float = 5.0
    resume_grace_s: float = 3.0
    retain_s: float = 30.0
    retain_requests: int = 1_000
    service_timeout_s: float = 30.0
    default_output_tokens: int = 256
    progress_s: float = 1.0
    check_s: float = 0.1

    def retry_limits(self) -> RetryLimits:
        """Return the bounds of one request's attempts."""
        return RetryLimits(
            attempts=self.attempts,
            crashes=self.crashes,
            silence_s=self.silence_s,
            prefill_s=self.prefill_s,
        )
