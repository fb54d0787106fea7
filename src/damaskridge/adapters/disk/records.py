"""Checksummed records of the log files.

A record consists of a header (length of the payload, checksum of the payload, checksum
of these two) and the payload. Without its own checksum, a header with a damaged length
would look like a record that wasn't written completely.

After a loss of power each unsynced write may be present, missing or torn, and a later
write may be present behind a missing one. Bytes that are missing read as zeros or lie
behind the end of the file. So that they can be told from altered bytes, the first and
the last byte of a payload of a log are never zero.

>>> data = encode_record(b"a") + encode_record(b"b")
>>> scan_records(data)
ScanResult(payloads=[b'a', b'b'], size_bytes=26, damaged=False, later_payloads=[])
>>> scan_records(data[:-1])
ScanResult(payloads=[b'a'], size_bytes=13, damaged=False, later_payloads=[])
>>> scan_records(data[:-1] + b"x").damaged
True
>>> scan_records(bytes(13) + data).later_payloads
[b'a', b'b']
"""

import re
import struct
import zlib
from dataclasses import dataclass, field

__all__ = ["ScanResult", "encode_record", "scan_records"]

_LENGTH_AND_CHECKSUM = struct.Struct("<II")
_HEADER = struct.Struct("<III")
_LENGTH_BYTES = 4
# Smallest unit of which a disk writes all bytes or none.
SECTOR_BYTES = 512
_NONZERO = re.compile(rb"[^\0]")


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
        Whether an altered record follows. A record that was not written completely is
        no damage.
    later_payloads : list of bytes
        Payloads of the intact records behind one that was not written completely.
    """

    payloads: list[bytes]
    size_bytes: int
    damaged: bool
    later_payloads: list[bytes] = field(default_factory=list)


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
        payload, end = _read_record(data, offset, verify)
        if payload is None:
            if not _is_incomplete(data, offset, end):
                return ScanResult(payloads, offset, True)
            later = _later_payloads(data, end or offset + 1)
            return ScanResult(payloads, offset, False, later)
        payloads.append(payload)
        offset = end
    return ScanResult(payloads, offset, False)


def _read_record(
    data: bytes, offset: int, verify: bool = True
) -> tuple[bytes | None, int]:
    """
    Read the record at an offset.

    Returns
    -------
    tuple of bytes or None and int
        The payload, None if the record is not intact, and the offset behind the
        record, 0 if the header is not intact.
    """
    length, checksum, header_checksum = _HEADER.unpack_from(data, offset)
    length_and_checksum = data[offset : offset + _LENGTH_AND_CHECKSUM.size]
    if verify and zlib.crc32(length_and_checksum) != header_checksum:
        return None, 0
    start = offset + _HEADER.size
    end = int(start + length)
    payload = data[start:end]
    if end > len(data) or (verify and zlib.crc32(payload) != checksum):
        return None, end
    return payload, end


def _is_incomplete(data: bytes, offset: int, end: int) -> bool:
    """
    Return whether a part of a record that is not intact is missing.

    If the header is not intact (`end` is 0), only the header and the first byte of the
    payload are known to belong to the record.
    """
    payload_start = offset + _HEADER.size
    start = payload_start if end else offset
    end = end or payload_start + 1
    if end > len(data) or data[end - 1] == 0:
        return True
    while start < end:
        stop = min(end, (start // SECTOR_BYTES + 1) * SECTOR_BYTES)
        if not any(data[start:stop]):
            return True
        start = stop
    return False


def _later_payloads(data: bytes, offset: int) -> list[bytes]:
    """Return the payloads of all intact records from an offset on."""
    payloads: list[bytes] = []
    while len(data) - offset >= _HEADER.size:
        payload, end = _read_record(data, offset)
        if payload is not None:
            payloads.append(payload)
            offset = end
            continue
        # A record begins with its length, of which only high bytes are zero.
        next_byte = _NONZERO.search(data, offset + 1)
        if next_byte is None:
            break
        offset = max(offset + 1, next_byte.start() - _LENGTH_BYTES + 1)
    return payloads
