"""Decides when a model engine changes between prefill and decode.

A change takes seconds, in which the engine does nothing, so that it has to pay for
itself: one stage must be short of room for a while, and the other must be able to give
an engine away. Load answered: a mix of long prompts and long answers for which the
engines are divided badly.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil

from damaskridge.model.control import InstanceLoad
from damaskridge.model.gateway import BackendInstance, EngineStage, EngineTraits

__all__ = ["StageBalancer", "StageChange"]

# Time constant of the averages: above the length of one generation, well below the time
# that a change has to pay off in.
AVERAGING_S = 4.0
# Keeps the first observation, which covers no time, from dividing by zero.
MIN_SPAN_S = 1e-3
# The averages mean nothing before they have seen about this much.
WARM_UP_S = 3.0
# Share of the decode memory in use from which a burst of four times the load does not
# fit. A change takes longer than most bursts, so it has to come before them.
MAX_DECODE_USE = 0.2
# Share of the memory of the other decode engines below which one can be spared.
MAX_SPARE_DECODE_USE = 0.2
# The same if no engine is left that only reads prompts: decode engines then read them
# at half speed.
MAX_SPARE_DECODE_USE_WITHOUT_PREFILL = 0.5
# Share of the time in which prefill engines are busy: with more, prompts queue.
MAX_PREFILL_USE = 0.85
# What the remaining prefill engines may be busy after others were given away. A burst
# doubles it, and a change back takes longer than the burst lasts.
TARGET_PREFILL_USE = 0.5
# Rest after a change; the averages then show its effect.
COOLDOWN_S = 12.0


@dataclass(frozen=True, slots=True)
class StageChange:
    """An engine that should work in another stage, and the averages behind it."""

    instance: BackendInstance
    stage: EngineStage
    decode_use: float
    prefill_use: float


class StageBalancer:
    """
    Watches the engines of one service.

    Parameters
    ----------
    started_s : float
        When the watch began.
    """

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._observed_s = started_s
        self._cooldown_until_s = started_s + WARM_UP_S
        self.decode_use = 0.0
        self.prefill_use = 0.0

    def observe(
        self,
        engines: Iterable[BackendInstance],
        load: Mapping[str, InstanceLoad],
        traits: EngineTraits,
        now_s: float,
        *,
        may_change: bool = True,
    ) -> tuple[StageChange, ...]:
        """
        Note the present load; returns the changes that should be ordered now.

        Parameters
        ----------
        engines : iterable of BackendInstance
            The engines of the service that are not leaving.
        load : mapping of str to InstanceLoad
            What all hosts have in flight.
        traits : EngineTraits
            Properties of the engines.
        now_s : float
            Present time.
        may_change : bool
            Whether changes can be ordered; if not, the load is noted only.
        """
        engines = list(engines)
        prefill = [item for item in engines if item.stage is EngineStage.PREFILL]
        decode = [item for item in engines if item.stage is EngineStage.DECODE]
        self._average(prefill, decode, load, traits, now_s)
        if not may_change or now_s < self._cooldown_until_s:
            return ()
        changes = self._changes(prefill, decode, load)
        if changes:
            self._cooldown_until_s = now_s + COOLDOWN_S
        return changes

    def _average(
        self,
        prefill: list[BackendInstance],
        decode: list[BackendInstance],
        load: Mapping[str, InstanceLoad],
        traits: EngineTraits,
        now_s: float,
    ) -> None:
        empty = InstanceLoad()
        busy = sum(load.get(e.instance, empty).prompt_tokens > 0 for e in prefill)
        used = sum(load.get(e.instance, empty).memory_tokens for e in decode)
        capacity = max(1, len(decode) * traits.memory_tokens)
        # A plain mean at first, or the averages would stay too low for long.
        span_s = min(AVERAGING_S, max(now_s - self._started_s, MIN_SPAN_S))
        weight = min(1.0, max(0.0, now_s - self._observed_s) / span_s)
        self._observed_s = now_s
        self.prefill_use += weight * (busy / max(1, len(prefill)) - self.prefill_use)
        self.decode_use += weight * (used / capacity - self.decode_use)

    def _changes(
        self,
        prefill: list[BackendInstance],
        decode: list[BackendInstance],
        load: Mapping[str, InstanceLoad],
    ) -> tuple[StageChange, ...]:
        empty = InstanceLoad()
        if prefill and self.decode_use > MAX_DECODE_USE:
            needed = max(1, ceil(self.prefill_use * len(prefill) / TARGET_PREFILL_USE))
            prefill.sort(key=lambda e: load.get(e.instance, empty).prompt_tokens)
            surplus = prefill[: max(0, len(prefill) - needed)]
            if surplus:
                return tuple(
                    self._change_to(item, EngineStage.DECODE) for item in surplus
                )
        if len(decode) > 1 and (not prefill or self.prefill_use > MAX_PREFILL_USE):
            remaining_use = self.decode_use * len(decode) / (len(decode) - 1)
            if remaining_use < (
                MAX_SPARE_DECODE_USE
                if prefill
                else MAX_SPARE_DECODE_USE_WITHOUT_PREFILL
            ):
                chosen = min(
                    decode, key=lambda e: load.get(e.instance, empty).memory_tokens
                )
                return (self._change_to(chosen, EngineStage.PREFILL),)
        return ()

    def _change_to(self, instance: BackendInstance, stage: EngineStage) -> StageChange:
        return StageChange(instance, stage, self.decode_use, self.prefill_use)
