"""Tests the decoding of the configuration document.

Guards against fields that are decoded into the wrong place, and against documents of
which only a part is accepted.
"""

import msgspec
import pytest

from damaskridge.core.gateway.routing import key_digest
from damaskridge.core.gateway.table_checks import table_faults
from damaskridge.model.gateway import RouteKind, RouteTarget
from damaskridge.platform.config_document import decode_document

DOCUMENT = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r1",
            "Hostname": "h.example",
            "PathPrefix": "/a/",
            "Kind": "stream",
            "TimeoutMs": 14000,
            "SloMs": 900,
            "Priority": 1,
            "Backends": [
                {"Service": "s1", "Weight": 9},
                {"Service": "s2", "Weight": 1},
            ],
            "MaxAttempts": 2,
            "Resumable": True,
            "ItlSloMs": 300,
            "Later": 1,
        },
        {
            "Name": "r2",
            "Hostname": "h.example",
            "PathPrefix": "/b/",
            "Kind": "non_idempotent",
            "TimeoutMs": 800,
            "Service": "s2",
            "Public": True,
        },
    ],
    "Services": [
        {
            "Name": "s1",
            "Engine": {
                "Slots": 64,
                "KvCapacity": 65205,
                "KvHoldS": 0.5,
                "HoldMs": 2000,
            },
        },
        {"Name": "s2", "MaxConns": 120},
    ],
    "Limits": {"MaxHeaderBytes": 100, "IdleTimeoutMs": 7},
    "Tenants": [
        {
            "Name": "t",
            "ApiKeys": ["k1"],
            "Priority": 3,
            "Unit": "tokens",
            "PlainTokens": 200,
            "RatePerS": 47000,
            "Burst": 40000.5,
        }
    ],
}


def decode(**changes):
    return decode_document(msgspec.json.encode({**DOCUMENT, **changes}))


def test_fields_are_decoded():
    table = decode().unwrap()
    assert table_faults(table) == []
    first, second = table.routes
    assert (first.kind, first.is_resumable, first.attempts) == (
        RouteKind.STREAM,
        True,
        2,
    )
    assert (first.timeout_ms, first.objective_ms, first.event_gap_ms) == (
        14000,
        900,
        300,
    )
    assert first.targets == (RouteTarget("s1", 9), RouteTarget("s2", 1))
    assert (second.kind, second.is_public) == (RouteKind.AT_MOST_ONCE, True)
    assert second.targets == (RouteTarget("s2"),)
    engine = table.services[0].engine
    assert (engine.memory_tokens, engine.handle_s, engine.reservation_s) == (
        65205,
        0.5,
        2.0,
    )
    assert table.limits.idle_timeout_ms == 7
    tenant = table.workspaces[0]
    assert tenant.key_digests == (key_digest("k1"),)
    assert (tenant.counts_tokens, tenant.plain_tokens) == (True, 200)
    assert (tenant.rate_per_s, tenant.burst, tenant.priority) == (47000, 40000.5, 3)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"\xff\xfe",
        b"[" * 100_000,
        msgspec.json.encode(DOCUMENT)[:-1],
        msgspec.json.encode({**DOCUMENT, "Version": "7"}),
        msgspec.json.encode({**DOCUMENT, "Routes": None}),
        msgspec.json.encode({k: v for k, v in DOCUMENT.items() if k != "Services"}),
    ],
)
def test_malformed_document_is_refused(body):
    assert decode_document(body).is_err()


def test_unknown_route_kind_is_refused():
    route = {**DOCUMENT["Routes"][0], "Kind": "once"}
    assert "unknown kind" in decode(Routes=[route]).unwrap_err()
