"""Builders of routing tables for tests."""

from damaskridge.core.gateway.routing import key_digest
from damaskridge.model.gateway import (
    EngineTraits,
    GatewayRoute,
    GatewayService,
    GatewayWorkspace,
    RouteKind,
    RouteTarget,
    RoutingTable,
)


def route(prefix="/a/", kind=RouteKind.REPEATABLE, **fields):
    fields = {
        "name": f"r{prefix}",
        "host_name": "h.example",
        "timeout_ms": 1000,
        "objective_ms": 200,
        "targets": (RouteTarget("app"),),
        **fields,
    }
    return GatewayRoute(path_prefix=prefix, kind=kind, **fields)


def engine_service(name="llm"):
    traits = EngineTraits(
        slots=8, memory_tokens=60_000, handle_s=0.5, reservation_s=2.0
    )
    return GatewayService(name=name, engine=traits)


def workspace(name="w1", *keys, **fields):
    digests = tuple(key_digest(key) for key in keys)
    return GatewayWorkspace(name=name, key_digests=digests, **fields)


def table(version=1, *routes, **fields):
    fields = {"services": (GatewayService(name="app"), engine_service()), **fields}
    return RoutingTable(version=version, routes=routes or (route(),), **fields)
