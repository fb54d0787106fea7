"""Infers the urgency of requests; no field set by the caller alone decides it."""

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
# Lower than the rate for output lengths, so that one burst of long prompts does not
# move the border between the groups.
_CENTRE_LEARNING_RATE = 0.01
# Groups whose sizes differ by less than this factor count as one, which is urgent.
_MIN_SEPARATION = math.log(2.0)
# A caller that abandons a queued request within this time counts as impatient.
_MAX_IMPATIENT_WAIT_S = 10.0
# Share of impatient callers above which similar requests are urgent.
_MIN_IMPATIENT_SHARE = 0.05
_MAX_GROUPS = 10_000
# Cost of an output token in prompt tokens: a decode step of 40 ms in a batch of 20, at
# a prefill speed of 8,000 tokens/s.
_OUTPUT_FACTOR = 16.0


class Level(IntEnum):
    """
    Levels of the queue, in scheduling order.

    `LATE` holds urgent requests that missed the target for the first token, and `BULK`
    delay-tolerant requests.
    """

    URGENT = 0
    LATE = 1
    BULK = 2


@dataclass(frozen=True, slots=True)
class Estimate:
    """
    Estimated urgency and output length of a request.

    Parameters
    ----------
    level : Level
        Level of the queue.
    slack_s : float
        Time for which the request can wait after its arrival.
    output_tokens : float
        Expected output length.
    max_expected_output_tokens : int
        Output length that is rarely exceeded; memory is reserved for it.
    """

    level: Level
    slack_s: float
    output_tokens: float
    max_expected_output_tokens: int


class Estimator(Protocol):
    """Estimates requests, and learns from their outcome."""

    def estimate(self, profile: RequestProfile, cached_tokens: int) -> Estimate:
        """Return the estimate, given the tokens of the prompt that an engine cached."""

    def record_finished(
        self, profile: RequestProfile, output_tokens: int, waited_s: float
    ) -> None:
        """Learn from a request that finished after `waited_s` in the queue."""

    def record_abandoned(self, profile: RequestProfile, waited_s: float) -> None:
        """Learn from a request that its caller abandoned in the queue."""


@dataclass(slots=True)
class _GroupStatistics:
    samples: int = 0
    mean: float = _PRIOR_OUTPUT_TOKENS
    deviation: float = _PRIOR_OUTPUT_TOKENS
    impatient_share: float = 0.0


class UrgencyEstimator:
    """
    Estimates requests from earlier ones of their workspace, route and prompt size.

    Online 2-means divides requests into two groups by the logarithm of their size,
    which is the prompt less the cached prefix, plus the weighted output. The group of
    small requests is urgent. A request is urgent too if callers of earlier ones like it
    abandoned them early.
    """

    def __init__(self) -> None:
        self._groups: OrderedDict[tuple[str, str, int], _GroupStatistics] = (
            OrderedDict()
        )
        self._small_centre = math.log(1000.0)
        self._large_centre = math.log(8000.0)

    def estimate(self, profile: RequestProfile, cached_tokens: int) -> Estimate:
        """Return the estimate, given the tokens of the prompt that an engine cached."""
        statistics = self._statistics_for(profile)
        max_output_tokens = profile.max_output_tokens
        expected_output_tokens = min(statistics.mean, float(max_output_tokens))
        if statistics.samples >= _MIN_SAMPLES:
            max_output_tokens = min(
                max_output_tokens,
                math.ceil(statistics.mean + 2.5 * statistics.deviation) + 16,
            )
        size = (
            max(1, profile.prompt_tokens - cached_tokens)
            + _OUTPUT_FACTOR * expected_output_tokens
        )
        is_urgent = self._is_small(math.log(size))
        if statistics.impatient_share > _MIN_IMPATIENT_SHARE:
            is_urgent = True
        level = Level.URGENT if is_urgent else Level.BULK
        slack_s = FIRST_TOKEN_TARGET_S / 2 if is_urgent else BULK_SLACK_S
        return Estimate(level, slack_s, expected_output_tokens, max_output_tokens)

    def record_finished(
        self, profile: RequestProfile, output_tokens: int, waited_s: float
    ) -> None:
        """Learn the output length, and that the caller waited to the end."""
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
        # A caller that waited for long weighs more than one that did not have to wait.
        is_patient = waited_s > _MAX_IMPATIENT_WAIT_S
        statistics.impatient_share *= 0.5 if is_patient else 1 - _LEARNING_RATE
        self._learn_size(profile.prompt_tokens + _OUTPUT_FACTOR * output_tokens)

    def record_abandoned(self, profile: RequestProfile, waited_s: float) -> None:
        """Learn that a caller abandoned a request after `waited_s` in the queue."""
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
