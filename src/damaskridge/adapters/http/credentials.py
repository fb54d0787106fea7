"""Extraction of keys from requests, and their removal before forwarding.

>>> bearer_key([(b"authorization", b"Bearer abc")]).ok_value
'abc'
>>> bearer_key([]).err_value.kind.value
'missing_key'
>>> strip_query("a=1&b=abc&c=%61bc", "abc")
'a=1'
"""

import hashlib
from collections.abc import Iterable
from urllib.parse import unquote_plus

from result import Err, Ok, Result

from damaskridge.model.errors import ErrorKind, Failure

__all__ = [
    "Headers",
    "bearer_key",
    "contains_key",
    "forwarded_headers",
    "key_digest",
    "strip_query",
]

Headers = Iterable[tuple[bytes, bytes]]

# Headers that are not forwarded, because they may hold secrets of the caller.
_CREDENTIAL_HEADERS = frozenset(
    {"authorization", "cookie", "proxy-authorization", "x-api-key"}
)
# Headers that are not forwarded, because they apply to the caller's connection only.
_CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def key_digest(key: str) -> str:
    """Return the SHA-256 digest under which a key is stored."""
    return hashlib.sha256(key.encode("latin-1")).hexdigest()


def bearer_key(headers: Headers) -> Result[str, Failure]:
    """Return the bearer key of a request; more than one distinct key is a failure."""
    keys: set[str] = set()
    for name, value in headers:
        if name.lower() != b"authorization":
            continue
        scheme, _, key = value.decode("latin-1").strip().partition(" ")
        if scheme.lower() == "bearer" and key.strip():
            keys.add(key.strip())
    if len(keys) > 1:
        return Err(Failure(ErrorKind.MULTIPLE_KEYS))
    return Ok(keys.pop()) if keys else Err(Failure(ErrorKind.MISSING_KEY))


def contains_key(text: str, key: str) -> bool:
    """Return whether a text contains a key, verbatim or percent-encoded."""
    return bool(key) and (key in text or key in unquote_plus(text))


def forwarded_headers(headers: Headers, keys: Iterable[str]) -> dict[str, str]:
    """
    Return the headers to forward to a backend server.

    Headers that hold credentials, apply to one connection or contain one of the keys
    are left out; repeated headers are joined with commas.
    """
    kept: dict[str, str] = {}
    secrets = list(keys)
    for raw_name, raw_value in headers:
        name, value = raw_name.decode("latin-1").lower(), raw_value.decode("latin-1")
        if name in _CREDENTIAL_HEADERS or name in _CONNECTION_HEADERS:
            continue
        if any(
            contains_key(name, key.lower()) or contains_key(value, key)
            for key in secrets
        ):
            continue
        kept[name] = f"{kept[name]}, {value}" if name in kept else value
    return kept


def strip_query(query: str, *keys: str) -> str:
    """Return the query string without the parameters that contain a key."""
    pairs = [pair for pair in query.split("&") if pair]
    return "&".join(
        pair for pair in pairs if not any(contains_key(pair, key) for key in keys)
    )
