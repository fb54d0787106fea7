"""Selects the entry hosts of a data centre that callers are sent to.

A host with few requests places them poorly: it receives the load of other hosts late,
opens a connection for nearly every request, and has a small share of each budget. This
happens in fleets of hundreds of hosts that receive a request every few seconds each.
Callers of a data centre are therefore sent to as many hosts as their requests need,
with room for a burst, and the other hosts remain on standby.

>>> select_hosts(["a", "b", "c", "d"], 2)
['a', 'c']
>>> select_hosts(["a", "b", "d"], 2)
['a', 'b']
"""

from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b
from math import ceil

from damaskridge.core.gateway.host_count import PeakHostCount
from damaskridge.model.follow import InstanceLoad

__all__ = ["HostDemand", "select_hosts"]

# Generations in flight that use a quarter of a 5 Mbit/s link: each prompt of 5 KB is
# sent twice, and about 20 events per second are forwarded. A burst may double them
# before further hosts are in use.
GENERATIONS_PER_HOST = 12
# Calls in flight that use a tenth of a core, at 3 ms of processor time for a call that
# lasts 80 ms.
CALLS_PER_HOST = 2.5
# Half of the hosts remain if one fails while another one is being replaced.
MIN_HOSTS = 4


class HostDemand:
    """Number of hosts that each data centre needs; rises at once and falls slowly."""

    def __init__(self) -> None:
        self._counts: dict[str, PeakHostCount] = {}

    def hosts_needed(
        self, load: Mapping[str, Iterable[InstanceLoad]], now_s: float
    ) -> dict[str, int]:
        """
        Return the number of hosts needed by data centre.

        Parameters
        ----------
        load : mapping of str to iterable of InstanceLoad
            Load in flight at the hosts of each data centre.
        now_s : float
            Current time.
        """
        needed = {}
        for data_centre, items in load.items():
            hosts = round(sum(map(_hosts_for, items)), ndigits=6)
            count = max(MIN_HOSTS, ceil(hosts))
            peak = self._counts.setdefault(data_centre, PeakHostCount())
            needed[data_centre] = peak.update(count, now_s)
        return needed


def select_hosts(hosts: Sequence[str], count: int) -> list[str]:
    """
    Return the hosts that callers are sent to, sorted by name.

    The selection depends only on the names and the count (rendezvous hashing), so that
    all hosts agree on it. A host that joins or leaves changes at most one selected
    host, and a larger count only adds hosts.
    """
    return sorted(sorted(hosts, key=_hash_rank)[:count])


def _hash_rank(host: str) -> bytes:
    return blake2b(host.encode(), digest_size=8).digest()


def _hosts_for(load: InstanceLoad) -> float:
    # Only generations occupy KV cache memory. The load of a prefill counts no requests,
    # as it belongs to a generation.
    if load.memory_tokens:
        return load.requests / GENERATIONS_PER_HOST
    return load.requests / CALLS_PER_HOST
