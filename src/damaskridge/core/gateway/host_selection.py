"""Chooses which entry hosts of a data centre callers are sent to.

A host that carries few requests places them blindly: it hears of the others late, opens
a connection for nearly every request, and has a small part of each budget. So callers
of a data centre are sent to as many hosts as their requests need, with room for a
burst, and the others stand by. Load answered: fleets with hundreds of hosts, each with
a request every few seconds.

>>> select_hosts(["a", "b", "c", "d"], 2)
['a', 'c']
>>> select_hosts(["a", "b", "d"], 2)
['a', 'b']
"""

from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b
from math import ceil

from damaskridge.core.gateway.host_count import PeakHostCount
from damaskridge.model.control import InstanceLoad

__all__ = ["HostDemand", "select_hosts"]

# Generations in flight that take a quarter of a link of 5 Mbit/s: each prompt of 5 KB
# is sent twice, and some twenty events a second pass on. A burst may double them before
# further hosts are in use.
GENERATIONS_PER_HOST = 12
# Calls in flight that take a tenth of a core, at 3 ms for a call that lasts 80 ms.
CALLS_PER_HOST = 2.5
# With one that fails while another one is being replaced, half are left.
LEAST_HOSTS = 4


class HostDemand:
    """How many hosts of each data centre its requests need; slow to fall."""

    def __init__(self) -> None:
        self._counts: dict[str, PeakHostCount] = {}

    def hosts_needed(
        self, load: Mapping[str, Iterable[InstanceLoad]], now_s: float
    ) -> dict[str, int]:
        """
        Return the number of hosts by data centre.

        Parameters
        ----------
        load : mapping of str to iterable of InstanceLoad
            By data centre, what its hosts have in flight.
        now_s : float
            Present time.
        """
        needed = {}
        for data_centre, items in load.items():
            hosts = round(sum(map(_hosts, items)), ndigits=6)
            count = max(LEAST_HOSTS, ceil(hosts))
            known = self._counts.setdefault(data_centre, PeakHostCount())
            needed[data_centre] = known.update(count, now_s)
        return needed


def select_hosts(hosts: Sequence[str], count: int) -> list[str]:
    """
    Return the hosts that callers are sent to, sorted by name.

    All that choose by the same names choose alike. A host that comes or goes changes
    one place, and a larger count only adds hosts.
    """
    return sorted(sorted(hosts, key=_rank)[:count])


def _rank(host: str) -> bytes:
    return blake2b(host.encode(), digest_size=8).digest()


def _hosts(load: InstanceLoad) -> float:
    # Generations hold memory; a prompt that is being read belongs to one of them.
    if load.memory_tokens:
        return load.requests / GENERATIONS_PER_HOST
    return load.requests / CALLS_PER_HOST
