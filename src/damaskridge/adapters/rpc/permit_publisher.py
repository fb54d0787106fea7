"""Tells all entry hosts of the limits of servers, and issues permits to them."""

import logging
from collections.abc import Callable, Iterable

import anyio

from damaskridge.adapters.observability.limit_events import log_limit_change
from damaskridge.adapters.rpc.subscribers import Subscriber, SubscriberSet
from damaskridge.core.gateway.limits.permit_issuer import PermitIssuer
from damaskridge.model.follow import LoadSeen, ReportLoad
from damaskridge.model.gateway import BackendInstance
from damaskridge.model.server_limits import SendDecided, ServerLimit

__all__ = ["PermitPublisher"]

# When a data centre fails, its servers are reported one by one. Each message to all
# hosts costs the leader some milliseconds, so that hosts are told of several together.
COLD_BATCH_S = 0.1

_log = logging.getLogger("damaskridge.control")


class PermitPublisher:
    """
    Answers the requests of entry hosts for permits, while this host is the leader.

    Parameters
    ----------
    subscribers : SubscriberSet
        The open streams of the entry hosts.
    is_leading : callable
        Returns whether this host is the leader.
    """

    def __init__(
        self, subscribers: SubscriberSet, is_leading: Callable[[], bool]
    ) -> None:
        self._subscribers = subscribers
        self._is_leading = is_leading
        self._issuer = PermitIssuer()
        self._unsent_cold: list[ServerLimit] = []
        self._has_unsent_cold = anyio.Event()

    async def run(self) -> None:
        """Send the limits of cold servers that hosts have reported until cancelled."""
        while True:
            await self._has_unsent_cold.wait()
            self._has_unsent_cold = anyio.Event()
            limits, self._unsent_cold = tuple(self._unsent_cold), []
            if limits and self._is_leading():
                self._subscribers.broadcast(LoadSeen(limits=limits))
            await anyio.sleep(COLD_BATCH_S)

    def record_cold(self, limits: Iterable[ServerLimit], source: str) -> None:
        """Tell all hosts at once of servers that are cold."""
        now_s = anyio.current_time()
        changed = tuple(item for item in limits if self._issuer.apply(item, now_s))
        if changed:
            self._subscribers.broadcast(LoadSeen(limits=changed))
        for limit in changed:
            log_limit_change(_log, limit, source)

    def send_snapshot(self, subscriber: Subscriber) -> None:
        """Send all limits to a new subscriber."""
        limits = self._issuer.limits(anyio.current_time())
        if limits:
            subscriber.push(LoadSeen(limits=limits))

    def handle_report(
        self, subscriber: Subscriber, host: str, message: ReportLoad
    ) -> None:
        """Record limits and charges, tell the other hosts, and decide on permits."""
        if not self._is_leading():
            return
        now_s = anyio.current_time()
        changed = tuple(
            limit for limit in message.limits if self._issuer.apply(limit, now_s)
        )
        for limit in changed:
            log_limit_change(_log, limit, source=host)
        stated = tuple(limit for limit in changed if not limit.is_cold)
        if stated:
            self._subscribers.broadcast(LoadSeen(limits=stated))
        if len(stated) < len(changed):
            self._unsent_cold += (limit for limit in changed if limit.is_cold)
            self._has_unsent_cold.set()
        if message.is_whole:
            self._issuer.replace_sends(host, message.sends_charged, now_s)
        else:
            for charge in message.sends_charged:
                self._issuer.charge(
                    charge.server, charge.sends, now_s, host=host, age_s=charge.age_s
                )
        if message.sends_wanted:
            decisions = tuple(
                SendDecided(
                    wanted.sequence,
                    self._issuer.request(wanted.server, wanted.group, now_s, host=host),
                )
                for wanted in message.sends_wanted
            )
            subscriber.push(LoadSeen(sends_decided=decisions))

    def limited(self) -> set[str]:
        """Return the names of the servers that need permits."""
        return {
            limit.server.instance for limit in self._issuer.limits(anyio.current_time())
        }

    def charge(self, instance: BackendInstance, sends: int) -> None:
        """Charge requests that the leader itself sends to a server."""
        self._issuer.charge(instance.instance_id, sends, anyio.current_time())

    def clear(self) -> None:
        """Forget all limits, when another host leads."""
        self._issuer.clear()
        self._unsent_cold.clear()
