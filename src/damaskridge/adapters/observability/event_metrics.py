"""Updates the metrics from logged events, so that code reports a decision only once."""

import logging

from damaskridge.adapters.observability.events import ROOT_LOGGER, get_event_fields
from damaskridge.adapters.observability.metrics import Metrics
from damaskridge.model.events import EventNumber

__all__ = ["EventMetricsHandler", "install_event_metrics"]


class EventMetricsHandler(logging.Handler):
    """
    Logging handler that updates metrics from the fields of logged events.

    Parameters
    ----------
    metrics : Metrics
        Metrics to update. Events below the log level aren't counted.
    """

    def __init__(self, metrics: Metrics) -> None:
        super().__init__()
        self._metrics = metrics

    def emit(self, record: logging.LogRecord) -> None:
        """Update the metrics from one record, if it carries an event."""
        number = getattr(record, "event_number", None)
        if number is None:
            return
        fields = get_event_fields(record)
        metrics = self._metrics
        metrics.events.labels(number.name).inc()
        kind = str(fields.get("kind", "model"))
        match number:
            case EventNumber.REQUEST_FINISHED:
                metrics.requests.labels(kind, "ok").inc()
            case EventNumber.REQUEST_REFUSED:
                metrics.requests.labels(kind, str(fields.get("error_kind", ""))).inc()
            case EventNumber.REQUEST_GRANTED:
                metrics.wait_s.labels("rate").observe(_float_field(fields, "waited_s"))
            case EventNumber.REQUEST_PLACED:
                metrics.wait_s.labels("cell").observe(_float_field(fields, "waited_s"))
            case EventNumber.REQUEST_FIRST_TOKEN:
                metrics.first_token_s.observe(_float_field(fields, "first_token_s"))
            case EventNumber.REQUEST_ANSWERED:
                metrics.requests.labels("gateway", str(fields.get("status", ""))).inc()
                metrics.response_s.observe(_float_field(fields, "elapsed_ms") / 1000)
                metrics.first_token_s.observe(_float_field(fields, "first_ms") / 1000)
                metrics.token_gap_s.observe(
                    _float_field(fields, "longest_gap_ms") / 1000
                )
            case EventNumber.REQUEST_FAILED:
                outcome = str(fields.get("error_kind", ""))
                metrics.requests.labels("gateway", outcome).inc()
                metrics.failure_s.observe(_float_field(fields, "elapsed_ms") / 1000)
            case EventNumber.LEDGER_INTENT:
                metrics.ledger_responses.labels(str(fields.get("state", ""))).inc()
            case _:
                pass


def install_event_metrics(metrics: Metrics) -> None:
    """Update the metrics from all events that this process logs from now on."""
    logging.getLogger(ROOT_LOGGER).addHandler(EventMetricsHandler(metrics))


def _float_field(fields: dict[str, object], name: str) -> float:
    value = fields.get(name)
    return float(value) if isinstance(value, int | float) else 0.0
