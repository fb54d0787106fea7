"""Decides which engine reads a prompt.

A prefill engine reads at full speed, behind the prompts that wait there. A decode
engine reads at about half of that, between the tokens of its other requests, and needs
no transfer. Load answered: bursts of long prompts, and lost prefill engines.

>>> speed = ReadingSpeed()
>>> speed.prefill_s(prompt_tokens=5000, pending_tokens=0)
0.1
>>> speed.decode_s(prompt_tokens=5000, pending_tokens=0)
0.25
>>> speed.prefers_decode(prompt_tokens=5000, prefill_pending=15000, decode_pending=0)
True
"""

__all__ = ["ReadingSpeed"]

# Until the first prompt has been read; a current accelerator reads about this fast.
FIRST_TOKENS_PER_S = 50_000.0
# Share of its prefill speed at which a decode engine reads, between other requests.
DECODE_SHARE = 0.4
# Weight of one observation in the average.
WEIGHT = 0.1
# One reading that was held up must not make the engines look stalled.
SLOWEST_TOKENS_PER_S = 5_000.0


class ReadingSpeed:
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
        self, *, prompt_tokens: int, prefill_pending: int, decode_pending: int
    ) -> bool:
        """Tell whether the decode engine has the prompt read sooner."""
        return self.decode_s(
            prompt_tokens=prompt_tokens, pending_tokens=decode_pending
        ) < self.prefill_s(prompt_tokens=prompt_tokens, pending_tokens=prefill_pending)
