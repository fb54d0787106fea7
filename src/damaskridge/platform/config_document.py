"""Decodes the operators' configuration document into a routing table.

The structs below mirror the JSON document field by field.
"""

from typing import Annotated

import msgspec
from result import Result

from damaskridge.core.gateway.routing import key_digest
from damaskridge.model.gateway import (
    CallerLimits,
    EngineTraits,
    GatewayRoute,
    GatewayService,
    GatewayWorkspace,
    RouteKind,
    RouteTarget,
    RoutingTable,
)
from damaskridge.platform.json_documents import Int64, decode_json

__all__ = ["decode_document"]

_ROUTE_KINDS = {
    "idempotent": RouteKind.REPEATABLE,
    "non_idempotent": RouteKind.AT_MOST_ONCE,
    "stream": RouteKind.STREAM,
}


# Longer ones don't fit the messages between hosts.
MAX_DURATION_MS = 10**12

_DurationMs = Annotated[float, msgspec.Meta(ge=-MAX_DURATION_MS, le=MAX_DURATION_MS)]


class _Target(msgspec.Struct, rename="pascal"):
    service: str
    weight: Int64


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    hostname: str
    path_prefix: str
    kind: str
    timeout_ms: _DurationMs
    slo_ms: _DurationMs = 0
    # 0 is the most urgent.
    priority: Int64 = 0
    # Shorthand for a single target; ignored if `backends` is set.
    service: str = ""
    backends: list[_Target] = []
    # Backend servers that may run a request; one that refuses it does not count.
    max_attempts: Int64 = 1
    public: bool = False
    resumable: bool = False
    itl_slo_ms: _DurationMs = 0


class _Engine(msgspec.Struct, rename="pascal"):
    slots: Int64
    kv_capacity: Int64
    # Time for which an exported KV cache is kept, in seconds.
    kv_hold_s: float = 0.0
    # Maximum duration of a reservation on a decode engine, in milliseconds.
    hold_ms: float = 0.0
    # Decode steps per event of a stream.
    stride: float = 1.0


class _Service(msgspec.Struct, rename="pascal"):
    name: str
    health_path: str = ""
    # Connections that one backend server accepts from all callers together.
    max_conns: Int64 = 0
    engine: _Engine | None = None
    # For how long a backend server is cold after its start, in seconds.
    cold_start_s: float = 0.0
    # Requests a second that a cold backend server bears.
    cold_per_s: float = 0.0


class _Tenant(msgspec.Struct, rename="pascal"):
    name: str
    api_keys: list[str] = []
    priority: Int64 | None = None
    unit: str = ""
    plain_tokens: Int64 = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: Int64 = 16_384
    max_body_bytes: Int64 = 4_194_304
    header_timeout_ms: Int64 = 3_000
    idle_timeout_ms: Int64 = 15_000


class _Document(msgspec.Struct, rename="pascal"):
    version: Int64
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


_decode_json = msgspec.json.Decoder(_Document).decode


def decode_document(body: bytes) -> Result[RoutingTable, str]:
    """Decode a document; the error says what is malformed."""
    return decode_json(_decode_table, body)


def _decode_table(body: bytes) -> RoutingTable:
    document = _decode_json(body)
    return RoutingTable(
        version=document.version,
        routes=tuple(map(_to_gateway_route, document.routes)),
        services=tuple(map(_to_gateway_service, document.services)),
        workspaces=tuple(map(_to_gateway_workspace, document.tenants)),
        limits=CallerLimits(
            header_bytes=document.limits.max_header_bytes,
            body_bytes=document.limits.max_body_bytes,
            header_timeout_ms=document.limits.header_timeout_ms,
            idle_timeout_ms=document.limits.idle_timeout_ms,
        ),
    )


def _to_gateway_route(route: _Route) -> GatewayRoute:
    kind = _ROUTE_KINDS.get(route.kind)
    if kind is None:
        raise ValueError(f"route {route.name!r}: unknown kind {route.kind!r}")
    targets = tuple(RouteTarget(item.service, item.weight) for item in route.backends)
    if route.service and not targets:
        targets = (RouteTarget(route.service),)
    return GatewayRoute(
        name=route.name,
        host_name=route.hostname,
        path_prefix=route.path_prefix,
        kind=kind,
        timeout_ms=round(route.timeout_ms),
        objective_ms=round(route.slo_ms),
        targets=targets,
        priority=route.priority,
        attempts=route.max_attempts,
        is_public=route.public,
        is_resumable=route.resumable,
        event_gap_ms=round(route.itl_slo_ms),
    )


def _to_gateway_service(service: _Service) -> GatewayService:
    engine = service.engine
    traits = None
    if engine is not None:
        traits = EngineTraits(
            slots=engine.slots,
            memory_tokens=engine.kv_capacity,
            handle_s=engine.kv_hold_s,
            reservation_s=engine.hold_ms / 1000,
            steps_per_event=engine.stride,
        )
    return GatewayService(
        name=service.name,
        health_path=service.health_path,
        connections=service.max_conns,
        engine=traits,
        cold_start_s=service.cold_start_s,
        cold_per_s=service.cold_per_s,
    )


def _to_gateway_workspace(tenant: _Tenant) -> GatewayWorkspace:
    return GatewayWorkspace(
        name=tenant.name,
        key_digests=tuple(key_digest(key) for key in tenant.api_keys),
        priority=tenant.priority,
        counts_tokens=tenant.unit == "tokens",
        plain_tokens=tenant.plain_tokens,
        rate_per_s=tenant.rate_per_s,
        burst=tenant.burst,
    )
