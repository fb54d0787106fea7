r"""Decodes JSON documents from outside, of which no content may end the process.

>>> split_object(b'{"Instances": [{"a": "]"}, [[1]]], "Next": "p\\"2"}')
{'Instances': b'[{"a": "]"}, [[1]]]', 'Next': b'"p\\"2"'}
>>> split_array(b'[{"a": "]"}, [[1]]]')
[b'{"a": "]"}', b'[[1]]']
"""

import re
from collections.abc import Callable, Iterator
from typing import Annotated, TypeVar

import msgspec
from result import Err, Ok, Result

__all__ = ["HeaderText", "Int64", "decode_json", "split_array", "split_object"]

T = TypeVar("T")

# What the messages between hosts can hold.
Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
# A value that can be sent in a header or in a path.
HeaderText = Annotated[
    str, msgspec.Meta(pattern=r"\A[!-.0-~]+\Z", min_length=1, max_length=256)
]

# Strings are opaque, whatever bytes they have. All else is of no interest here.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[][{}:,"]', re.DOTALL)
_MAX_ERROR_CHARACTERS = 200


def decode_json(decode: Callable[[bytes], T], body: bytes) -> Result[T, str]:
    """Decode a document; the error says what is malformed or out of range."""
    try:
        return Ok(decode(body))
    # msgspec raises its own errors, and those of Python for deep nesting and bytes that
    # are not UTF-8.
    except (msgspec.MsgspecError, ValueError, RecursionError, OverflowError) as error:
        return Err(str(error)[:_MAX_ERROR_CHARACTERS])


def split_object(body: bytes) -> dict[str, bytes]:
    """
    Return the members of an object as raw JSON, without a look at their content.

    Raises
    ------
    ValueError
        The body is no object, or its brackets don't match.
    """
    members: dict[str, bytes] = {}
    for item in _split(body, b"{", b"}"):
        key, separator, value = _partition_member(item)
        if not separator:
            raise ValueError("a member of the object has no value")
        members[key] = value.strip()
    return members


def split_array(body: bytes) -> list[bytes]:
    """
    Return the items of an array as raw JSON, without a look at their content.

    Raises
    ------
    ValueError
        The body is no array, or its brackets don't match.
    """
    return list(_split(body, b"[", b"]"))


def _split(body: bytes, opening: bytes, closing: bytes) -> Iterator[bytes]:
    """Yield what is between the commas of the outermost level."""
    body = body.strip()
    if not (body.startswith(opening) and body.endswith(closing)):
        raise ValueError(f"the document does not begin with {opening.decode()}")
    depth, start, end = 0, 1, len(body) - 1
    for token in _TOKEN.finditer(body):
        text = token.group()
        if text in b"[{":
            depth += 1
        elif text in b"]}":
            depth -= 1
        elif text == b"," and depth == 1:
            yield body[start : token.start()].strip()
            start = token.end()
        elif text == b'"':
            raise ValueError("a string of the document does not end")
        if depth == 0 and token.start() != end:
            raise ValueError("the document does not end with its outermost bracket")
    if depth:
        raise ValueError("the brackets of the document do not match")
    if body[start:end].strip():
        yield body[start:end].strip()


def _partition_member(item: bytes) -> tuple[str, bytes, bytes]:
    for token in _TOKEN.finditer(item):
        if token.group() == b":":
            key = item[: token.start()].strip().strip(b'"')
            return key.decode("utf-8", "replace"), b":", item[token.end() :]
    return "", b"", b""
