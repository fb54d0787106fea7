"""Decides when an engine changes between the prefill and the decode stage.

A change takes seconds, during which the engine does no work. It therefore happens only
if one stage is short of capacity for a while and the other can spare an engine. This
serves mixes of long prompts and long outputs that the current division of the engines
doesn't fit.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil

from damaskridge.model.follow import InstanceLoad
from damaskridge.model.gateway import BackendInstance, EngineStage, EngineTraits

__all__ = ["StageBalancer", "StageChange"]

# Time constant of the averages: longer than one generation, and much shorter than the
# time in which a change has to pay off.
AVERAGING_S = 4.0
# Avoids a division by zero at the first observation, which covers no time.
MIN_SPAN_S = 1e-3
# The averages aren't meaningful before this time has been observed.
WARM_UP_S = 3.0
# Share of decode memory in use above which a burst of four times the load would not
# fit. A change takes longer than most bursts, so it has to happen before them.
MAX_DECODE_USE = 0.2
# Memory use of the remaining decode engines below which one can be spared.
MAX_SPARE_DECODE_USE = 0.2
# The same if there is no prefill engine. The limit is higher, because decode engines
# then prefill at half speed.
MAX_SPARE_DECODE_USE_WITHOUT_PREFILL = 0.5
# Share of prefill engines that are busy above which prompts queue.
MAX_PREFILL_USE = 0.85
# Largest busy share of the prefill engines that remain after a change. A burst doubles
# it, and a change back would take longer than the burst.
TARGET_PREFILL_USE = 0.5
# Time after a change without further changes, until the averages show its effect.
COOLDOWN_S = 12.0


@dataclass(frozen=True, slots=True)
class StageChange:
    """An engine that should change to a stage, and the averages that caused it."""

    instance: BackendInstance
    stage: EngineStage
    decode_use: float
    prefill_use: float


class StageBalancer:
    """
    Averages the load of one service's engines and decides on their stages.

    Parameters
    ----------
    started_s : float
        Time of the first observation.
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
        Record the current load and return the changes that should be ordered now.

        Parameters
        ----------
        engines : iterable of BackendInstance
            Engines of the service that aren't leaving.
        load : mapping of str to InstanceLoad
            Load in flight of all hosts, by instance.
        traits : EngineTraits
            Properties of the engines.
        now_s : float
            Current time.
        may_change : bool
            Whether changes can be ordered; if not, the load is only recorded.
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
        """Add the current load to the averages."""
        empty = InstanceLoad()
        busy = sum(load.get(e.instance, empty).prompt_tokens > 0 for e in prefill)
        used = sum(load.get(e.instance, empty).memory_tokens for e in decode)
        capacity = max(1, len(decode) * traits.memory_tokens)
        # An arithmetic mean at first; otherwise the averages would stay too low for
        # long.
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
        """Choose all surplus prefill engines, or one decode engine, or none."""
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
