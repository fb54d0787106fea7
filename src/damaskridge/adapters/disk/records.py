"""Checksummed records of the log files.

A record consists of a header (length of the payload, checksum of the payload, checksum
of these two) and the payload. Without its own checksum, a header with a damaged length
would look like a record that wasn't written completely.

>>> data = encode_record(b"a") + encode_record(b"b")
>>> scan_records(data)
ScanResult(payloads=[b'a', b'b'], size_bytes=26, damaged=False)
>>> scan_records(data[:-1])
ScanResult(payloads=[b'a'], size_bytes=13, damaged=False)
>>> scan_records(data[:-1] + b"x").damaged
True
"""

import struct
import zlib
from dataclasses import dataclass

__all__ = ["ScanResult", "encode_record", "scan_records"]

_LENGTH_AND_CHECKSUM = struct.Struct("<II")
_HEADER = struct.Struct("<III")


@dataclass(frozen=True, slots=True)
class ScanResult:
    """
    Result of scanning a file.

    Parameters
    ----------
    payloads : list of bytes
        Payloads of the intact records, up to the first one that isn't intact.
    size_bytes : int
        Total size of these records.
    damaged : bool
        Whether a complete but altered record follows. An unfinished write is no
        damage: it is shorter than its record or reads as zeros.
    """

    payloads: list[bytes]
    size_bytes: int
    damaged: bool


def encode_record(payload: bytes) -> bytes:
    """Return a payload as a record."""
    length_and_checksum = _LENGTH_AND_CHECKSUM.pack(len(payload), zlib.crc32(payload))
    return (
        length_and_checksum
        + struct.pack("<I", zlib.crc32(length_and_checksum))
        + payload
    )


def scan_records(data: bytes, verify: bool = True) -> ScanResult:
    """Scan the records of a file; `verify` is off only in tests."""
    payloads: list[bytes] = []
    offset = 0
    while len(data) - offset >= _HEADER.size:
        length, checksum, header_checksum = _HEADER.unpack_from(data, offset)
        length_and_checksum = data[offset : offset + _LENGTH_AND_CHECKSUM.size]
        if verify and zlib.crc32(length_and_checksum) != header_checksum:
            return ScanResult(payloads, offset, any(data[offset:]))
        start = offset + _HEADER.size
        payload = data[start : start + length]
        if len(payload) < length:
            break
        if verify and zlib.crc32(payload) != checksum:
            return ScanResult(payloads, offset, True)
        payloads.append(payload)
        offset = start + length
    return ScanResult(payloads, offset, False)
