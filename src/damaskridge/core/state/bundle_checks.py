"""
Validation of a whole bundle.

Every fault names the path of the invalid field, such as ``keys[3].digest``. Messages
of faults are stored with the refused proposal, so every control host has to produce
the same text.
"""

import ipaddress
import math
from collections import defaultdict
from collections.abc import Iterator

from damaskridge.core.state.view import IDENTITY_FIELDS
from damaskridge.model.bundle import BackendServer, BackendServerRole, Bundle

__all__ = ["bundle_faults"]

# A change of the bundle needs a proposer and another operator who signs it off.
MIN_OPERATORS = 2
SHA256_HEX_CHARACTERS = 64

_POSITIVE_FIELDS = {
    "workspaces": ("rate_tokens_per_s", "burst_tokens", "share_weight"),
    "models": ("context_tokens", "kv_bytes_per_token"),
    "backend_servers": (
        "piece_tokens",
        "prefill_tokens_per_s",
        "decode_step_ms",
        "link_bytes_per_s",
    ),
}
_PREFILL_ROLES = {BackendServerRole.PREFILL, BackendServerRole.MIXED}
_DECODE_ROLES = {BackendServerRole.DECODE, BackendServerRole.MIXED}


def bundle_faults(bundle: Bundle) -> list[str]:
    """Return every fault as ``<path>: <description>``, or an empty list."""
    return [
        *_duplicate_faults(bundle),
        *_value_faults(bundle),
        *_reference_faults(bundle),
        *_backend_server_faults(bundle),
        *_cell_faults(bundle),
    ]


def _duplicate_faults(bundle: Bundle) -> Iterator[str]:
    for field, names in IDENTITY_FIELDS.items():
        seen: dict[tuple[str, ...], int] = {}
        for position, item in enumerate(getattr(bundle, field)):
            key = tuple(getattr(item, name) for name in names)
            first = seen.setdefault(key, position)
            if not key[0]:
                yield f"{field}[{position}].{names[0]}: must not be empty"
            elif first != position:
                yield f"{field}[{position}].{names[0]}: same as {field}[{first}]"


def _value_faults(bundle: Bundle) -> Iterator[str]:
    for field, names in _POSITIVE_FIELDS.items():
        for position, item in enumerate(getattr(bundle, field)):
            for name in names:
                value = getattr(item, name)
                if not (value > 0 and math.isfinite(value)):
                    yield f"{field}[{position}].{name}: must be above 0, not {value:g}"
    for position, route in enumerate(bundle.routes):
        if route.cost_tokens < 0:
            yield (
                f"routes[{position}].cost_tokens: must be at least 0, "
                f"not {route.cost_tokens}"
            )


def _reference_faults(bundle: Bundle) -> Iterator[str]:
    workspaces = {item.name for item in bundle.workspaces}
    for position, key in enumerate(bundle.keys):
        if key.workspace not in workspaces:
            yield f"keys[{position}].workspace: unknown workspace {key.workspace!r}"
        if not _is_digest(key.digest):
            yield f"keys[{position}].digest: must be a SHA-256 in hexadecimal"
    for position, operator in enumerate(bundle.operators):
        if not _is_digest(operator.key_digest):
            yield f"operators[{position}].key_digest: must be a SHA-256 in hexadecimal"
    if len(bundle.operators) < MIN_OPERATORS:
        yield f"operators: must be at least {MIN_OPERATORS}, a change needs two"


def _backend_server_faults(bundle: Bundle) -> Iterator[str]:
    models = {item.name for item in bundle.models}
    for position, server in enumerate(bundle.backend_servers):
        path = f"backend_servers[{position}]"
        if not server.cell:
            yield f"{path}.cell: must not be empty"
        if server.slots < 1:
            yield f"{path}.slots: must be at least 1, not {server.slots}"
        if not _is_address(server.address):
            yield f"{path}.address: must be ip:port, not {server.address!r}"
        if server.role is BackendServerRole.SERVICE:
            continue
        if server.serves not in models:
            yield f"{path}.serves: unknown model {server.serves!r}"
        if server.kv_pieces < 1:
            yield f"{path}.kv_pieces: must be at least 1, not {server.kv_pieces}"


def _cell_faults(bundle: Bundle) -> Iterator[str]:
    cells: dict[str, list[tuple[int, BackendServer]]] = defaultdict(list)
    for position, server in enumerate(bundle.backend_servers):
        cells[server.cell].append((position, server))
    for cell, servers in cells.items():
        position, first = servers[0]
        path = f"backend_servers[{position}].cell: cell {cell!r}"
        for other_position, server in servers:
            is_service = server.role is BackendServerRole.SERVICE
            if server.serves != first.serves or is_service != (
                first.role is BackendServerRole.SERVICE
            ):
                yield (
                    f"backend_servers[{other_position}].serves: cell {cell!r} serves "
                    f"{first.serves!r}, not {server.serves!r}"
                )
        roles = {server.role for _, server in servers}
        if roles == {BackendServerRole.SERVICE}:
            continue
        if not roles & _PREFILL_ROLES:
            yield f"{path} has no backend server for prefill"
        if not roles & _DECODE_ROLES:
            yield f"{path} has no backend server for decode"


def _is_digest(text: str) -> bool:
    return len(text) == SHA256_HEX_CHARACTERS and set(text) <= set("0123456789abcdef")


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isascii() and port.isdecimal() and 0 < int(port) < 65_536
