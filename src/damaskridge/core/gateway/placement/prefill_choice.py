"""Chooses between a prefill engine and a decode engine for the prefill of a prompt.

A prefill engine runs at full speed but has a queue of prompts. A decode engine is about
half as fast, because it interleaves the prefill with the tokens of its other requests,
but needs no KV cache transfer; meanwhile the events of those requests are delayed.
Using the decode engine helps with bursts of long prompts and after the loss of prefill
engines.

>>> estimator = PrefillEstimator()
>>> estimator.prefill_s(prompt_tokens=5000, pending_tokens=0)
0.1
>>> estimator.decode_s(prompt_tokens=5000, pending_tokens=0)
0.25
>>> estimator.prefers_decode(
...     prompt_tokens=5000, prefill_pending=15000, decode_pending=0
... )
True
>>> pace = EventPace(steps_per_event=76, event_gap_s=0.3)
>>> estimator.prefers_decode(
...     prompt_tokens=5000, prefill_pending=15000, decode_pending=0, pace=pace
... )
False
"""

from dataclasses import dataclass

__all__ = ["EventPace", "PrefillEstimator"]

# Estimate before the first observation; about the speed of a current accelerator.
INITIAL_TOKENS_PER_S = 50_000.0
# Speed of a decode engine that prefills between its other requests, as a share of the
# speed of a prefill engine.
DECODE_SPEED_SHARE = 0.4
# Weight of one observation in the exponential moving average.
OBSERVATION_WEIGHT = 0.1
# Lower bound for an observation. One delayed prefill must not make all engines look
# slow.
MIN_TOKENS_PER_S = 5_000.0
# Prompt tokens that a decode engine prefills in one step. Engines that interleave
# prefill and decode split the prompt into chunks to keep a step short.
PREFILL_TOKENS_PER_STEP = 512
# Share of the allowed gap between events that prefill may use. The rest is left for the
# decode steps themselves, whose time grows with the number of running requests.
MAX_PREFILL_GAP_SHARE = 0.6
# With a longer estimate, a prefill engine would not finish before the prefill is
# abandoned, so that the decode engine is used in any case.
MAX_PREFILL_S = 1.0


@dataclass(frozen=True, slots=True)
class EventPace:
    """
    Required event rate of the streams that run on a decode engine.

    Parameters
    ----------
    steps_per_event : float
        Engine steps per event.
    event_gap_s : float
        Maximum gap between events; 0 for no limit.
    """

    steps_per_event: float
    event_gap_s: float

    def allows(self, prefill_s: float, step_prefill_s: float) -> bool:
        """
        Tell whether events stay within the maximum gap during prefill.

        Parameters
        ----------
        prefill_s : float
            Total prefill time of all prompts that wait on the engine.
        step_prefill_s : float
            Maximum prefill time within one step.
        """
        if self.event_gap_s <= 0:
            return True
        added_s = min(prefill_s, self.steps_per_event * step_prefill_s)
        return added_s <= MAX_PREFILL_GAP_SHARE * self.event_gap_s


class PrefillEstimator:
    """Estimates prefill times from the observed speed of the prefill engines."""

    def __init__(self) -> None:
        self._tokens_per_s = INITIAL_TOKENS_PER_S

    def observe(self, tokens: int, elapsed_s: float, speed: float = 1.0) -> None:
        """
        Record the time of a prefill.

        Parameters
        ----------
        tokens : int
            Prompt tokens, with those queued before them.
        elapsed_s : float
            Time from the request to the response.
        speed : float
            Speed of the engine, relative to others of its service.
        """
        if tokens > 0 and elapsed_s > 0:
            observed_per_s = max(MIN_TOKENS_PER_S, tokens / elapsed_s / speed)
            self._tokens_per_s += OBSERVATION_WEIGHT * (
                observed_per_s - self._tokens_per_s
            )

    def prefill_s(
        self, *, prompt_tokens: int, pending_tokens: int, speed: float = 1.0
    ) -> float:
        """Return the time on a prefill engine, including its queue."""
        return (prompt_tokens + pending_tokens) / (self._tokens_per_s * speed)

    def decode_s(
        self, *, prompt_tokens: int, pending_tokens: int, speed: float = 1.0
    ) -> float:
        """Return the time on a decode engine, including its queue."""
        decode_tokens_per_s = self._tokens_per_s * DECODE_SPEED_SHARE * speed
        return (prompt_tokens + pending_tokens) / decode_tokens_per_s

    def prefers_decode(
        self,
        *,
        prompt_tokens: int,
        prefill_pending: int,
        decode_pending: int,
        pace: EventPace | None = None,
        prefill_speed: float = 1.0,
        decode_speed: float = 1.0,
    ) -> bool:
        """
        Tell whether the decode engine should prefill the prompt.

        Parameters
        ----------
        prompt_tokens : int
            Length of the prompt.
        prefill_pending, decode_pending : int
            Prompt tokens queued at the prefill and at the decode engine.
        pace : EventPace or None
            Required event rate of other streams on the decode engine; None if it has
            none.
        prefill_speed, decode_speed : float
            Speeds of the two engines, relative to others of their service.
        """
        prefill_s = self.prefill_s(
            prompt_tokens=prompt_tokens,
            pending_tokens=prefill_pending,
            speed=prefill_speed,
        )
        decode_s = self.decode_s(
            prompt_tokens=prompt_tokens,
            pending_tokens=decode_pending,
            speed=decode_speed,
        )
        if decode_s >= prefill_s:
            return False
        if pace is None or prefill_s > MAX_PREFILL_S:
            return True
        step_prefill_s = PREFILL_TOKENS_PER_STEP / (
            self._tokens_per_s * DECODE_SPEED_SHARE * decode_speed
        )
        return pace.allows(decode_s, step_prefill_s)
