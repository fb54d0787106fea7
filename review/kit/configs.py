"""Configurations and requests like those of the small deployments."""

__all__ = ["KEY", "config", "request_headers"]

KEY = "i9n73hh2b9wu3fexd9dn"
HOST_NAME = "ficu95.example"
ENGINE = {
    "Slots": 64,
    "KvCapacity": 65205,
    "KvTokenBytes": 18432,
    "LinkMbps": 200000.0,
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


def _route(name, prefix, kind, service, timeout_ms, slo_ms, **more):
    return {
        "Name": name,
        "Hostname": HOST_NAME,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "SloMs": slo_ms,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
        **more,
    }


def config(version, tenants=None, more_routes=()):
    """Return a configuration with the kinds of routes of the small deployments."""
    stream = {"Sticky": True, "ItlSloMs": 300}
    return {
        "Version": version,
        "Routes": [
            _route("r-assess", "/assess/", "stream", "llm", 14000, 900, **stream),
            _route(
                "r-resume",
                "/resume/",
                "stream",
                "llm",
                14000,
                900,
                Resumable=True,
                **stream,
            ),
            _route("r-book", "/book/", "non_idempotent", "app", 1500, 100),
            _route("r-status", "/status/", "idempotent", "app", 1500, 100),
            *more_routes,
        ],
        "Services": [
            {
                "Name": "llm",
                "HealthPath": "/healthz",
                "MaxConns": 390,
                "Protocol": "h1",
                "Tls": False,
                "Engine": ENGINE,
            },
            {
                "Name": "app",
                "HealthPath": "/healthz",
                "MaxConns": 130,
                "Protocol": "h1",
                "Tls": False,
            },
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": tenants
        or [
            {
                "Name": "hule930",
                "ApiKeys": [KEY],
                "Priority": 1,
                "Unit": "tokens",
                "PlainTokens": 200,
                "RatePerS": 470000,
                "Burst": 470000,
            }
        ],
    }


def request_headers(attempt, deadline_ms, tokens="", key=KEY):
    """Return the headers of a client's request."""
    headers = {
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {key}",
    }
    if tokens:
        prompt = tokens.partition(",")[0]
        headers |= {
            "X-Model": "m",
            "X-Token-Count": tokens,
            "X-Prompt-Prefix": f"5c1e07a2:200,{attempt[:8]}:{int(prompt) - 200}",
        }
    return headers
