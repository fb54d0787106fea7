"""Addresses in settings, as ``ip:port``."""

import ipaddress
from typing import Annotated

from pydantic import AfterValidator

__all__ = ["Address", "split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Return IP address and port of ``ip:port``; `ValueError` if malformed."""
    ip, separator, port = address.rpartition(":")
    if not separator or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError("must be <ip>:<port>")
    ipaddress.ip_address(ip)
    return ip, int(port)


def _check_address(address: str) -> str:
    split_address(address)
    return address


Address = Annotated[str, AfterValidator(_check_address)]
