"""Settings of a front."""

from dataclasses import dataclass

from damaskridge.core.requests.messages import RetryLimits

__all__ = ["FrontSettings"]


@dataclass(frozen=True, slots=True)
class FrontSettings:
    """
    Timeouts and limits of one entry host.

    Parameters
    ----------
    rate_wait_s : float
        Maximum time for which a rate owner queues a request above its rate.
    owner_timeout_s : float
        Maximum wait while an owner is unknown or unreachable. A session lasts 3 s
        and an election about 1 s, so a lost owner is replaced well within it.
    retry_pause_s : float
        Delay before a call to an owner is retried.
    silence_s, prefill_s, attempts, crashes : float, float, int, int
        See `RetryLimits`.
    body_limit_bytes, body_wait_s : int, float
        Maximum size of a request body, and maximum time to receive all of it.
    write_timeout_s : float
        Maximum time for which a caller may stop reading its response.
    keep_s : float
        How long callers may cache the list of entry host addresses.
    resume_grace_s : float
        How long a stream that has produced output continues after its last reader
        disconnected, so that the caller can resume it.
    retain_s, retain_requests : float, int
        How long, and for how many requests, the output of ended requests is kept.
    service_timeout_s : float
        Timeout of one call to an instance of a plain service.
    default_output_tokens : int
        Limit of output tokens for a request that sets none.
    progress_interval_s : float
        Interval between progress reports to cell owners.
    check_interval_s : float
        Interval between checks for changed owners and withdrawn keys.
    """

    rate_wait_s: float = 2.0
    owner_timeout_s: float = 8.0
    retry_pause_s: float = 0.1
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
    progress_interval_s: float = 1.0
    check_interval_s: float = 0.1

    def retry_limits(self) -> RetryLimits:
        """Return the limits of the attempts of one request."""
        return RetryLimits(
            attempts=self.attempts,
            crashes=self.crashes,
            silence_s=self.silence_s,
            prefill_s=self.prefill_s,
        )
