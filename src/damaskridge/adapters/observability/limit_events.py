"""Logs changes of the limits that backend servers name."""

import logging

from damaskridge.adapters.observability.events import log_event
from damaskridge.model.events import EventNumber
from damaskridge.model.server_limits import ServerLimit

__all__ = ["log_limit_change"]


def log_limit_change(logger: logging.Logger, limit: ServerLimit, source: str) -> None:
    """
    Log that a limit was named, changed or has ended.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the calling module.
    limit : ServerLimit
        The limit, or its end.
    source : str
        How this process knows it: ``response``, ``leader``, ``list``, ``evacuation``,
        ``unreachable``, or the host that has reported it to the leader.
    """
    server = limit.server.instance
    if limit.per_s is None:
        log_event(
            logger,
            EventNumber.SERVER_LIMIT_ENDED,
            backend_server=server,
            source=source,
        )
    else:
        log_event(
            logger,
            EventNumber.SERVER_LIMIT_CHANGED,
            backend_server=server,
            limit_per_s=limit.per_s,
            cold_ms=round(limit.cold_for_s * 1000),
            source=source,
        )
