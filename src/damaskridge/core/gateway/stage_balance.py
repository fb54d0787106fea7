"""Decides when a model engine changes between prefill and decode.

A change takes seconds, in which the engine does nothing, so that it has to pay for
itself: one stage must be short of room for a while, and the other must be able to give
an engine away. Load answered: a mix of long prompts and long answers for which the
engines are divided badly.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from damaskridge.model.control import InstanceLoad
from damaskridge.model.gateway import BackendInstance, EngineStage, EngineTraits

__all__ = ["StageBalance", "StageChange"]

# Time constant of the averages: above the length of one generation, well below the time
# that a change has to pay off in.
AVERAGE_S = 4.0
# The averages mean nothing before they have seen about this much.
WARM_UP_S = 3.0
# Share of the decode memory in use from which a burst of twice the load does not fit.
DECODE_SHORT = 0.4
# Share of the decode memory below which a decode engine can be spared.
DECODE_SPARE = 0.2
# Share of the time in which prefill engines are busy: with more, prompts queue.
PREFILL_SHORT = 0.85
# What the remaining prefill engines may be busy after one was given away. Decode
# engines read what is beyond that.
PREFILL_SPARE = 1.0
# Rest after a change; the averages then show its effect.
PAUSE_S = 12.0


@dataclass(frozen=True, slots=True)
class StageChange:
    """An engine that should work in another stage, and the averages behind it."""

    instance: BackendInstance
    stage: EngineStage
    decode_use: float
    prefill_use: float


class StageBalance:
    """
    Watches the engines of one service.

    Parameters
    ----------
    started_s : float
        When the watch began.
    """

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._seen_s = started_s
        self._quiet_until_s = started_s + WARM_UP_S
        self.decode_use = 0.0
        self.prefill_use = 0.0

    def observe(
        self,
        engines: Iterable[BackendInstance],
        load: Mapping[str, InstanceLoad],
        traits: EngineTraits,
        now_s: float,
    ) -> StageChange | None:
        """
        Note the present load; returns a change that should be ordered now.

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
        """
        engines = list(engines)
        prefill = [item for item in engines if item.stage is EngineStage.PREFILL]
        decode = [item for item in engines if item.stage is EngineStage.DECODE]
        self._average(prefill, decode, load, traits, now_s)
        if now_s < self._quiet_until_s:
            return None
        change = self._change(prefill, decode, load)
        if change is not None:
            self._quiet_until_s = now_s + PAUSE_S
        return change

    def _average(
        self,
        prefill: list[BackendInstance],
        decode: list[BackendInstance],
        load: Mapping[str, InstanceLoad],
        traits: EngineTraits,
        now_s: float,
    ) -> None:
        nothing = InstanceLoad()
        busy = sum(load.get(e.instance, nothing).prompt_tokens > 0 for e in prefill)
        used = sum(load.get(e.instance, nothing).memory_tokens for e in decode)
        capacity = max(1, len(decode) * traits.memory_tokens)
        weight = min(1.0, max(0.0, now_s - self._seen_s) / AVERAGE_S)
        self._seen_s = now_s
        self.prefill_use += weight * (busy / max(1, len(prefill)) - self.prefill_use)
        self.decode_use += weight * (used / capacity - self.decode_use)

    def _change(
        self,
        prefill: list[BackendInstance],
        decode: list[BackendInstance],
        load: Mapping[str, InstanceLoad],
    ) -> StageChange | None:
        nothing = InstanceLoad()
        spare = self.prefill_use * len(prefill) / max(1, len(prefill) - 1)
        if (
            len(prefill) > 1
            and self.decode_use > DECODE_SHORT
            and spare < PREFILL_SPARE
        ):
            chosen = min(
                prefill, key=lambda e: load.get(e.instance, nothing).prompt_tokens
            )
            return self._to(chosen, EngineStage.DECODE)
        if len(decode) > 1 and (not prefill or self.prefill_use > PREFILL_SHORT):
            left = self.decode_use * len(decode) / (len(decode) - 1)
            if left < DECODE_SPARE:
                chosen = min(
                    decode, key=lambda e: load.get(e.instance, nothing).memory_tokens
                )
                return self._to(chosen, EngineStage.PREFILL)
        return None

    def _to(self, instance: BackendInstance, stage: EngineStage) -> StageChange:
        return StageChange(instance, stage, self.decode_use, self.prefill_use)
