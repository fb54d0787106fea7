"""Decides whether a host has lost its path to all backend servers.

A server that doesn't accept a connection may have crashed. The host then tries a few
servers of all services; only if none of them accepts is the host itself partitioned.

>>> state = ServerReachability()
>>> state.record_failure()
>>> state.must_probe(now_s=5.0)
True
>>> state.record_probes(accepted=0, now_s=5.2)
>>> state.is_partitioned
True
>>> state.must_probe(now_s=5.3), state.must_probe(now_s=5.8)
(False, True)
>>> state.record_probes(accepted=1, now_s=5.8)
>>> state.is_partitioned
False
"""

import random
from collections.abc import Iterable

from damaskridge.model.gateway import BackendInstance

__all__ = ["ServerReachability", "probe_targets"]

# While the host is partitioned, the time between two rounds of probes.
PARTITIONED_PROBE_PERIOD_S = 0.5
# Otherwise, the shortest time between two rounds, which limits their number while
# single servers fail.
SUSPECTED_PROBE_PERIOD_S = 1.0
# A host that has heard from no server for this long does not know whether it reaches
# one.
UNCERTAIN_AFTER_S = 0.5
# Servers that are tried in one round.
PROBES_PER_ROUND = 4


class ServerReachability:
    """
    Whether this host reaches any backend server.

    Attributes
    ----------
    is_partitioned : bool
        Whether no server accepted a connection when the host last tried.
    is_suspected : bool
        Whether a server has failed since one was last reached.
    """

    def __init__(self) -> None:
        self.is_partitioned = False
        self.is_suspected = False
        self._last_probe_s = float("-inf")
        self._last_reached_s = float("-inf")

    def record_connected(self, now_s: float) -> None:
        """Record that a server has accepted a new connection."""
        self.is_suspected = self.is_partitioned = False
        self._last_reached_s = now_s

    def record_response(self, now_s: float) -> None:
        """
        Record that a server has responded, which it may do on an old connection.

        Open connections may go on to work while new ones fail.
        """
        self._last_reached_s = now_s

    def is_uncertain(self, now_s: float) -> bool:
        """Tell whether it must be probed whether the host reaches servers."""
        has_heard = now_s - self._last_reached_s < UNCERTAIN_AFTER_S
        return not self.is_partitioned and (self.is_suspected or not has_heard)

    def record_failure(self) -> None:
        """Record that a server did not accept a connection, or did not respond."""
        self.is_suspected = True

    def must_probe(self, now_s: float) -> bool:
        """Tell whether to try a few servers now."""
        period_s = (
            PARTITIONED_PROBE_PERIOD_S
            if self.is_partitioned
            else SUSPECTED_PROBE_PERIOD_S
        )
        is_due = now_s - self._last_probe_s >= period_s
        return is_due and (self.is_partitioned or self.is_suspected)

    def record_probes(self, accepted: int, now_s: float) -> None:
        """Record how many of the servers that were tried accepted a connection."""
        self._last_probe_s = now_s
        self.is_suspected = False
        self.is_partitioned = not accepted
        if accepted:
            self._last_reached_s = now_s


def probe_targets(
    instances: Iterable[BackendInstance], rng: random.Random
) -> list[BackendInstance]:
    """Return servers to try, at first of different services and data centres."""
    remaining = list(instances)
    rng.shuffle(remaining)
    targets: list[BackendInstance] = []
    while remaining and len(targets) < PROBES_PER_ROUND:
        services = {item.service for item in targets}
        data_centres = {item.data_centre for item in targets}
        chosen = max(
            remaining,
            key=lambda item: (
                item.service not in services,
                item.data_centre not in data_centres,
            ),
        )
        remaining.remove(chosen)
        targets.append(chosen)
    return targets
