"""Addresses in settings, as ``ip:port``."""

import ipaddress
from typing import Annotated

from pydantic import AfterValidator

__all__ = ["Address"]


def _check_address(address: str) -> str:
    ip, separator, port = address.rpartition(":")
    if not separator or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError("must be <ip>:<port>")
    ipaddress.ip_address(ip)
    return address


Address = Annotated[str, AfterValidator(_check_address)]
