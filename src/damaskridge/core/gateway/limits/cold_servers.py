"""Determines the limits of backend servers that have started recently.

A cold server bears a stated rate of requests from all hosts together and crashes above
it. The limits answer the moment at which the servers of a data centre come back and
every host sends its next requests to them, as they look emptiest.

>>> service = GatewayService(name="s", cold_start_s=3.0, cold_per_s=8.0)
>>> server = BackendInstance(
...     instance="a", service="s", address="", data_centre="west", slots=4
... )
>>> cold_limits([server], {"s": service}, {"a": 2.0})
(ServerLimit(server=InstanceId(instance='a', started_ms=0), per_s=6.0, cold_for_s=2.0),)
"""

from collections.abc import Iterable, Mapping, Set

from damaskridge.model.gateway import BackendInstance, GatewayService, InstanceId
from damaskridge.model.server_limits import ServerLimit

__all__ = ["LIST_DELAY_S", "cold_limits", "presumed_cold_limits"]

# Share of the rate of a cold server at which permits are issued. A permit is used up to
# half a second later, so that one second contains the permits of one and a half seconds
# and a full bucket, which add up to 1.5 times the rate and two requests.
COLD_RATE_SHARE = 0.75
# Time after which the list shows that a server has started: the delay of the list and
# the interval between two readings.
LIST_DELAY_S = 2.0


def cold_limits(
    instances: Iterable[BackendInstance],
    services: Mapping[str, GatewayService],
    left_s: Mapping[str, float | None],
    known: Set[InstanceId] = frozenset(),
) -> tuple[ServerLimit, ...]:
    """
    Return the limits of the listed servers that are cold.

    Parameters
    ----------
    instances : iterable of BackendInstance
        The listed servers.
    services : mapping of str to GatewayService
        The services by name; only those that state both figures have cold servers.
    left_s : mapping of str to float or None
        For how much longer servers are cold, by name. None if it isn't known; the
        server is then cold for the time after a start.
    known : set of InstanceId
        Servers that were listed before; of these, only a stated time counts.
    """
    limits = []
    for item in instances:
        service = services.get(item.service)
        if service is None or not service.has_cold_servers:
            continue
        cold_for_s = left_s.get(item.instance, 0.0)
        if cold_for_s is None:
            is_new = item.instance_id not in known
            cold_for_s = service.cold_start_s if is_new else 0.0
        if cold_for_s > 0:
            per_s = COLD_RATE_SHARE * service.cold_per_s
            limits.append(ServerLimit(item.instance_id, per_s, cold_for_s))
    return tuple(limits)


def presumed_cold_limits(
    instances: Iterable[BackendInstance],
    services: Mapping[str, GatewayService],
    *,
    elapsed_s: float = 0.0,
) -> tuple[ServerLimit, ...]:
    """
    Return the limits of servers that may have started without being listed as cold yet.

    Parameters
    ----------
    instances : iterable of BackendInstance
        The servers.
    services : mapping of str to GatewayService
        The services by name.
    elapsed_s : float
        Time since the latest moment at which they may have started.
    """
    listed = tuple(instances)
    left_s = {
        item.instance: service.cold_start_s + LIST_DELAY_S - elapsed_s
        for item in listed
        if (service := services.get(item.service)) is not None
    }
    return cold_limits(listed, services, left_s)
