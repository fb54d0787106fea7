"""Decides which engine reads a prompt.

A prefill engine reads at full speed, behind the prompts that wait there. A decode
engine reads at about half of that, between the tokens of its other requests, and needs
no transfer; meanwhile the events of those requests are late. Load answered: bursts of
long prompts, and lost prefill engines.

>>> speed = PrefillEstimator()
>>> speed.prefill_s(prompt_tokens=5000, pending_tokens=0)
0.1
>>> speed.decode_s(prompt_tokens=5000, pending_tokens=0)
0.25
>>> speed.prefers_decode(prompt_tokens=5000, prefill_pending=15000, decode_pending=0)
True
>>> pace = EventPace(steps_per_event=76, event_gap_s=0.3)
>>> speed.prefers_decode(
...     prompt_tokens=5000, prefill_pending=15000, decode_pending=0, pace=pace
... )
False
"""

from dataclasses import dataclass

__all__ = ["EventPace", "PrefillEstimator"]

# Until the first prompt has been read; a current accelerator reads about this fast.
FIRST_TOKENS_PER_S = 50_000.0
# Share of its prefill speed at which a decode engine reads, between other requests.
DECODE_SHARE = 0.4
# Weight of one observation in the average.
WEIGHT = 0.1
# One reading that was held up must not make the engines look stalled.
SLOWEST_TOKENS_PER_S = 5_000.0
# Prompt tokens that a decode engine reads in one step. Engines that read between the
# tokens of other requests keep a step short.
TOKENS_PER_STEP = 512
# Share of the allowed gap between events that reading may fill. The rest is the time
# that the steps themselves take, which grows with the requests that run.
READ_GAP_SHARE = 0.6
# With a longer queue a prefill engine would not answer before the prompt is given up.
LONGEST_PREFILL_S = 1.0


@dataclass(frozen=True, slots=True)
class EventPace:
    """
    What the streams that run on a decode engine need.

    Parameters
    ----------
    steps_per_event : float
        Steps of the engine that one event covers.
    event_gap_s : float
        Longest gap between events that is on time; 0 for no limit.
    """

    steps_per_event: float
    event_gap_s: float

    def allows(self, read_s: float, step_read_s: float) -> bool:
        """
        Tell whether the events stay on time while prompts are read.

        Parameters
        ----------
        read_s : float
            Time that all prompts that wait to be read there take.
        step_read_s : float
            The most of it that falls into one step.
        """
        if self.event_gap_s <= 0:
            return True
        added_s = min(read_s, self.steps_per_event * step_read_s)
        return added_s <= READ_GAP_SHARE * self.event_gap_s


class PrefillEstimator:
    """The speed at which the prefill engines of a service read, as observed."""

    def __init__(self) -> None:
        self._tokens_per_s = FIRST_TOKENS_PER_S

    def observe(self, tokens: int, elapsed_s: float) -> None:
        """Note that an engine read so many tokens, those before it included."""
        if tokens > 0 and elapsed_s > 0:
            seen = max(SLOWEST_TOKENS_PER_S, tokens / elapsed_s)
            self._tokens_per_s += WEIGHT * (seen - self._tokens_per_s)

    def prefill_s(self, *, prompt_tokens: int, pending_tokens: int) -> float:
        """Return how long a prefill engine takes, its queue included."""
        return (prompt_tokens + pending_tokens) / self._tokens_per_s

    def decode_s(self, *, prompt_tokens: int, pending_tokens: int) -> float:
        """Return how long a decode engine takes, its own queue included."""
        speed = self._tokens_per_s * DECODE_SHARE
        return (prompt_tokens + pending_tokens) / speed

    def prefers_decode(
        self,
        *,
        prompt_tokens: int,
        prefill_pending: int,
        decode_pending: int,
        pace: EventPace | None = None,
    ) -> bool:
        """
        Tell whether the decode engine should read the prompt.

        Parameters
        ----------
        prompt_tokens : int
            Length of the prompt.
        prefill_pending, decode_pending : int
            Prompt tokens that wait at the prefill and at the decode engine.
        pace : EventPace or None
            What other streams on the decode engine need; None if it runs none.
        """
        prefill_s = self.prefill_s(
            prompt_tokens=prompt_tokens, pending_tokens=prefill_pending
        )
        decode_s = self.decode_s(
            prompt_tokens=prompt_tokens, pending_tokens=decode_pending
        )
        if decode_s >= prefill_s:
            return False
        if pace is None or prefill_s > LONGEST_PREFILL_S:
            return True
        step_read_s = TOKENS_PER_STEP / (self._tokens_per_s * DECODE_SHARE)
        return pace.allows(decode_s, step_read_s)
