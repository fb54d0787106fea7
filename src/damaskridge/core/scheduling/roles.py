"""Proposes changes of engine roles between prefill and decode, with hysteresis."""

from damaskridge.core.scheduling.servers import ServerState
from damaskridge.model.bundle import BackendServerRole

__all__ = ["RoleAdvisor"]

_SAMPLE_INTERVAL_S = 1.0
_HIGH_LOAD, _LOW_LOAD = 0.85, 0.4
_MIN_IMBALANCE_S = 30.0
_COOLDOWN_S = 120.0
# An engine with this backlog counts as fully loaded with prefills.
_FULL_PREFILL_BACKLOG_S = 0.5


class RoleAdvisor:
    """Proposes to move an engine while one pool is full and the other nearly idle."""

    def __init__(self) -> None:
        self._next_sample_s = 0.0
        self._imbalance_since_s: float | None = None
        self._wanted_role: BackendServerRole | None = None

    def propose(
        self, servers: list[ServerState], now_s: float
    ) -> tuple[ServerState, BackendServerRole] | None:
        """Return an engine and its new role after a sustained imbalance, or `None`."""
        if now_s < self._next_sample_s:
            return None
        self._next_sample_s = now_s + _SAMPLE_INTERVAL_S
        usable = [server for server in servers if server.is_usable]
        prefill = [s for s in usable if s.role is BackendServerRole.PREFILL]
        decode = [s for s in usable if s.role is BackendServerRole.DECODE]
        wanted_role = _role_in_demand(prefill, decode, now_s)
        if wanted_role is None or wanted_role is not self._wanted_role:
            self._wanted_role, self._imbalance_since_s = wanted_role, now_s
            return None
        if (
            self._imbalance_since_s is None
            or now_s - self._imbalance_since_s < _MIN_IMBALANCE_S
        ):
            return None
        donors = decode if wanted_role is BackendServerRole.PREFILL else prefill
        self._wanted_role, self._next_sample_s = None, now_s + _COOLDOWN_S
        return min(donors, key=lambda s: (s.load, s.busy_until_s)), wanted_role


def _role_in_demand(
    prefill: list[ServerState], decode: list[ServerState], now_s: float
) -> BackendServerRole | None:
    if not prefill or not decode:
        return None
    waits = [
        min(1.0, max(0.0, s.busy_until_s - now_s) / _FULL_PREFILL_BACKLOG_S)
        for s in prefill
    ]
    prefill_load = sum(waits) / len(waits)
    decode_load = sum(s.load for s in decode) / len(decode)
    if prefill_load > _HIGH_LOAD and decode_load < _LOW_LOAD and len(decode) > 1:
        return BackendServerRole.PREFILL
    if decode_load > _HIGH_LOAD and prefill_load < _LOW_LOAD and len(prefill) > 1:
        return BackendServerRole.DECODE
    return None
