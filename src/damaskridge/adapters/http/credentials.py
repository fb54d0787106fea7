"""Keys in requests, and requests without keys.

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

__all__ = ["Headers", "bearer_key", "key_digest", "mentions", "strip_query", "stripped"]

Headers = Iterable[tuple[bytes, bytes]]

_CREDENTIALS = frozenset(
    {"authorization", "cookie", "proxy-authorization", "x-api-key"}
)
_HOP_BY_HOP = frozenset(
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
    """Return the digest by which a key is known."""
    return hashlib.sha256(key.encode("latin-1")).hexdigest()


def bearer_key(headers: Headers) -> Result[str, Failure]:
    """Return the one key of a request."""
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


def mentions(text: str, key: str) -> bool:
    """Tell whether a text contains a key, plainly or percent-encoded."""
    return bool(key) and (key in text or key in unquote_plus(text))


def stripped(headers: Headers, keys: Iterable[str]) -> dict[str, str]:
    """Return the headers that a backend server may see."""
    kept: dict[str, str] = {}
    secrets = list(keys)
    for raw_name, raw_value in headers:
        name, value = raw_name.decode("latin-1").lower(), raw_value.decode("latin-1")
        if name in _CREDENTIALS or name in _HOP_BY_HOP:
            continue
        if any(mentions(name, key.lower()) or mentions(value, key) for key in secrets):
            continue
        kept[name] = f"{kept[name]}, {value}" if name in kept else value
    return kept


def strip_query(query: str, *keys: str) -> str:
    """Return the query string without the pairs that contain a key."""
    pairs = [pair for pair in query.split("&") if pair]
    return "&".join(
        pair for pair in pairs if not any(mentions(pair, key) for key in keys)
    )
