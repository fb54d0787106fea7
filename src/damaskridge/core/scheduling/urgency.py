"""Infers how urgent a request is; no field that the caller sets decides it."""

import math
from collections import OrderedDict
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

from damaskridge.core.scheduling.settings import FIRST_TOKEN_TARGET_S
from damaskridge.model.routing import RequestProfile

__all__ = ["BULK_SLACK_S", "Estimate", "Estimator", "Level", "UrgencyEstimator"]

BULK_SLACK_S = 10.0
_PRIOR_OUTPUT_TOKENS = 128.0
_MIN_SAMPLES = 5
_LEARNING_RATE = 0.1
# Slower than output learning, so that one burst of long prompts moves no border.
_CENTRE_LEARNING_RATE = 0.01
# Groups of sizes closer than this factor are one group, and all of it is urgent.
_MIN_SEPARATION = math.log(2.0)
_MAX_IMPATIENT_WAIT_S = 10.0
_MIN_IMPATIENT_SHARE = 0.05
_MAX_GROUPS = 10_000
# Engine cost of an output token in prompt tokens: 40 ms in a batch of 20 at a
# prefill speed of 8,000 tokens/s.
_OUTPUT_FACTOR = 16.0


class Level(IntEnum):
    """Levels of the queue, the most urgent first."""

    URGENT = 0
    LATE = 1
    BULK = 2


@dataclass(frozen=True, slots=True)
class Estimate:
    """
    What is expected of a request.

    Parameters
    ----------
    level : Level
        Level at which the request is queued.
    slack_s : float
        Time for which it can wait.
    output_tokens : float
        Expected output.
    max_expected_output_tokens : int
        Output that is rarely exceeded, for reservations.
    """

    level: Level
    slack_s: float
    output_tokens: float
    max_expected_output_tokens: int


class Estimator(Protocol):
    """Estimates requests and learns from how they end."""

    def estimate(self, profile: RequestProfile, cached_tokens: int) -> Estimate:
        """Return what is expected of a request."""

    def record_finished(
        self, profile: RequestProfile, output_tokens: int, waited_s: float
    ) -> None:
        """Learn from a request that ran to its end after `waited_s` in the queue."""

    def record_abandoned(self, profile: RequestProfile, waited_s: float) -> None:
        """Learn from a caller that left while its request was queued."""


@dataclass(slots=True)
class _GroupStatistics:
    samples: int = 0
    mean: float = _PRIOR_OUTPUT_TOKENS
    deviation: float = _PRIOR_OUTPUT_TOKENS
    impatient_share: float = 0.0


class UrgencyEstimator:
    """
    Learns per workspace, route and size of prompt.

    Requests fall into two groups by the logarithm of their size (prompt less
    cached prefix, plus weighted output), found by online 2-means. The smaller
    group is urgent, and so is any group whose callers leave early.
    """

    def __init__(self) -> None:
        self._groups: OrderedDict[tuple[str, str, int], _GroupStatistics] = (
            OrderedDict()
        )
        self._small_centre = math.log(1000.0)
        self._large_centre = math.log(8000.0)

    def estimate(self, profile: RequestProfile, cached_tokens: int) -> Estimate:
        """Return what is expected of `profile`."""
        statistics = self._statistics_for(profile)
        most = profile.max_output_tokens
        output = min(statistics.mean, float(most))
        if statistics.samples >= _MIN_SAMPLES:
            most = min(
                most, math.ceil(statistics.mean + 2.5 * statistics.deviation) + 16
            )
        size = max(1, profile.prompt_tokens - cached_tokens) + _OUTPUT_FACTOR * output
        urgent = self._is_small(math.log(size))
        if statistics.impatient_share > _MIN_IMPATIENT_SHARE:
            urgent = True
        level = Level.URGENT if urgent else Level.BULK
        slack_s = FIRST_TOKEN_TARGET_S / 2 if urgent else BULK_SLACK_S
        return Estimate(level, slack_s, output, most)

    def record_finished(
        self, profile: RequestProfile, output_tokens: int, waited_s: float
    ) -> None:
        """Learn the output length; the caller waited to the end."""
        statistics = self._statistics_for(profile)
        if statistics.samples == 0:
            statistics.mean, statistics.deviation = (
                float(output_tokens),
                output_tokens / 2,
            )
        error = output_tokens - statistics.mean
        statistics.samples += 1
        statistics.mean += _LEARNING_RATE * error
        statistics.deviation += _LEARNING_RATE * (abs(error) - statistics.deviation)
        # A caller that waited for long weighs more than one that had no need to.
        is_patient = waited_s > _MAX_IMPATIENT_WAIT_S
        statistics.impatient_share *= 0.5 if is_patient else 1 - _LEARNING_RATE
        self._learn_size(profile.prompt_tokens + _OUTPUT_FACTOR * output_tokens)

    def record_abandoned(self, profile: RequestProfile, waited_s: float) -> None:
        """Learn that a caller left after `waited_s` in the queue."""
        if waited_s <= _MAX_IMPATIENT_WAIT_S:
            statistics = self._statistics_for(profile)
            statistics.impatient_share += _LEARNING_RATE * (
                1 - statistics.impatient_share
            )

    def _statistics_for(self, profile: RequestProfile) -> _GroupStatistics:
        bucket = max(1, profile.prompt_tokens).bit_length()
        key = (profile.workspace, profile.route, bucket)
        statistics = self._groups.get(key)
        if statistics is None:
            statistics = self._groups[key] = _GroupStatistics()
            if len(self._groups) > _MAX_GROUPS:
                self._groups.popitem(last=False)
        return statistics

    def _is_small(self, log_size: float) -> bool:
        if self._large_centre - self._small_centre < _MIN_SEPARATION:
            return True
        return log_size < (self._small_centre + self._large_centre) / 2

    def _learn_size(self, size: float) -> None:
        log_size = math.log(max(1.0, size))
        if log_size < (self._small_centre + self._large_centre) / 2:
            self._small_centre += _CENTRE_LEARNING_RATE * (
                log_size - self._small_centre
            )
        else:
            self._large_centre += _CENTRE_LEARNING_RATE * (
                log_size - self._large_centre
            )
