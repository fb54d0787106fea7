"""The configuration of a small deployment, after the sheet of kdrc-reloft."""

import json

HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
LLM, APP = "inspect-llm", "counter-app"
STREAM_PATH, BOOK_PATH, STATUS_PATH = "/pufi791/", "/refill-book/", "/order-status/"
CALL_TIMEOUT_MS, CALL_DEADLINE_MS = 800, 1500
STREAM_TIMEOUT_MS = 14_000


def route(name, prefix, service, kind, **fields):
    """Return one route of a configuration."""
    is_stream = kind == "stream"
    return {
        "Name": name,
        "Hostname": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": STREAM_TIMEOUT_MS if is_stream else CALL_TIMEOUT_MS,
        "SloMs": 900 if is_stream else 100,
        "Priority": 1 if is_stream else 2,
        "Service": service,
        "MaxAttempts": 1,
        "Public": False,
        "Sticky": is_stream,
        "Resumable": False,
        **({"ItlSloMs": 300} if is_stream else {}),
        **fields,
    }


def services():
    """Return the services of a configuration."""
    engine = {
        "Slots": 64,
        "KvCapacity": 65_205,
        "KvTokenBytes": 18_432,
        "LinkMbps": 200_000.0,
        "Moves": True,
        "Backups": True,
        "Stride": 7,
        "most": 12,
        "KvHoldS": 0.5,
        "RoleSwitchS": 6.0,
        "PinMs": 4000.0,
        "HoldMs": 2000.0,
        "Models": [{"Name": "m"}],
    }
    common = {"HealthPath": "/healthz", "Protocol": "h1", "Tls": False}
    return [
        {"Name": LLM, "MaxConns": 390, **common, "Engine": engine},
        {"Name": APP, "MaxConns": 130, **common},
    ]


def tenants():
    """Return the tenants of a configuration."""
    return [
        {
            "Name": "hule930",
            "ApiKeys": [KEY],
            "Priority": 1,
            "Unit": "tokens",
            "PlainTokens": 200,
            "RatePerS": 470_000,
            "Burst": 470_000,
        }
    ]


def routes():
    """Return the routes of a configuration."""
    return [
        route("fill-assess", STREAM_PATH, LLM, "stream"),
        route("refill-book", BOOK_PATH, APP, "non_idempotent"),
        route("order-status", STATUS_PATH, APP, "idempotent", MaxAttempts=2),
    ]


def document(version, **fields):
    """Return a configuration; `fields` replace parts of it."""
    return {
        "Version": version,
        "Routes": routes(),
        "Services": services(),
        "Limits": {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 4_194_304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15_000,
        },
        "Tenants": tenants(),
        **fields,
    }


def encode(document):
    """Return a configuration as it is sent."""
    return json.dumps(document).encode()
