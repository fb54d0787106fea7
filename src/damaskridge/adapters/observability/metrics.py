"""Prometheus metrics of one process."""

from collections.abc import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

__all__ = ["Metrics"]

# Upper bounds, chosen around the targets of 78 ms between tokens and 1 s to the first
# token.
LATENCY_BUCKETS_S = (0.005, 0.02, 0.05, 0.078, 0.2, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0)


class Metrics:
    """
    All metrics of a process, in a registry of their own so that a test can use several.

    Attributes
    ----------
    events : Counter
        Numbered events by `name`.
    requests : Counter
        Requests by `kind` (model, service or gateway) and `outcome`: an error kind,
        ``ok``, or the status of a response that was relayed.
    wait_s, first_token_s, token_gap_s : Histogram
        Wait by `stage` (rate or cell), time to first token, time between tokens.
    response_s, failure_s : Histogram
        Time to the end of a response that was relayed, and to a failure.
    prefill_tokens, wasted_prefill_tokens : Counter
        Prefilled tokens, and those whose result was never decoded.
    ledger_responses : Counter
        Responses of the idempotency ledger by `state`.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self.events = self._counter("events", "Numbered log events", "name")
        self.requests = self._counter("requests", "Requests", "kind", "outcome")
        self.wait_s = self._histogram("wait_seconds", "Time waited", "stage")
        self.first_token_s = self._histogram(
            "first_token_seconds", "Time to first token"
        )
        self.token_gap_s = self._histogram("token_gap_seconds", "Time between tokens")
        self.response_s = self._histogram("answer_seconds", "Time to a whole answer")
        self.failure_s = self._histogram("failure_seconds", "Time to a failure")
        self.prefill_tokens = self._counter("prefill_tokens", "Prefilled tokens")
        self.wasted_prefill_tokens = self._counter(
            "wasted_prefill_tokens", "Prefilled tokens that were never decoded"
        )
        self.ledger_responses = self._counter(
            "ledger_answers", "Ledger answers", "state"
        )

    def add_gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """
        Add a gauge; `read` returns its value when the metrics are collected.

        Used for `queue_length`, `lease_remaining_seconds`, `bundle_version`,
        `owned_resources` and, on control hosts, `leader`.
        """
        gauge = Gauge(f"damaskridge_{name}", help_text, registry=self.registry)
        gauge.set_function(read)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(f"damaskridge_{name}", help_text, labels, registry=self.registry)

    def _histogram(self, name: str, help_text: str, *labels: str) -> Histogram:
        return Histogram(
            f"damaskridge_{name}",
            help_text,
            labels,
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
