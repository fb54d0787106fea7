"""Checksummed records of the log files.

A record is a header (length of the payload, checksum of the payload, checksum of
both) and the payload. The header has a checksum of its own because a damaged length
would otherwise look like a record that was cut short.

>>> data = encode_record(b"a") + encode_record(b"b")
>>> scan(data)
Scan(payloads=[b'a', b'b'], size_bytes=26, damaged=False)
>>> scan(data[:-1])
Scan(payloads=[b'a'], size_bytes=13, damaged=False)
>>> scan(data[:-1] + b"x").damaged
True
"""

import struct
import zlib
from dataclasses import dataclass

__all__ = ["Scan", "encode_record", "scan"]

_BODY = struct.Struct("<II")
_HEADER = struct.Struct("<III")


@dataclass(frozen=True, slots=True)
class Scan:
    """
    What a file contains.

    Parameters
    ----------
    payloads : list of bytes
        Payloads of the intact records before the first other one.
    size_bytes : int
        Size of these records.
    damaged : bool
        Whether a complete record follows that was altered. A write that did not
        finish is shorter than its record or reads as zeros, and is no damage.
    """

    payloads: list[bytes]
    size_bytes: int
    damaged: bool


def encode_record(payload: bytes) -> bytes:
    """Return the record of a payload."""
    body = _BODY.pack(len(payload), zlib.crc32(payload))
    return body + struct.pack("<I", zlib.crc32(body)) + payload


def scan(data: bytes, verify: bool = True) -> Scan:
    """Return the intact records of a file; `verify` is off only in tests."""
    payloads: list[bytes] = []
    offset = 0
    while len(data) - offset >= _HEADER.size:
        length, checksum, header_checksum = _HEADER.unpack_from(data, offset)
        body = data[offset : offset + _BODY.size]
        if verify and zlib.crc32(body) != header_checksum:
            return Scan(payloads, offset, any(data[offset:]))
        start = offset + _HEADER.size
        payload = data[start : start + length]
        if len(payload) < length:
            break
        if verify and zlib.crc32(payload) != checksum:
            return Scan(payloads, offset, True)
        payloads.append(payload)
        offset = start + length
    return Scan(payloads, offset, False)
