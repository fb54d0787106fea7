"""Validation of ``ip:port`` addresses in settings."""

import ipaddress
from typing import Annotated

from pydantic import AfterValidator

__all__ = ["Address", "split_address"]


def split_address(address: str) -> tuple[str, int]:
    """
    Return the IP address and the port of ``ip:port``.

    Raises
    ------
    ValueError
        If the address is malformed.
    """
    ip, separator, port = address.rpartition(":")
    if not separator or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError("must be <ip>:<port>")
    ipaddress.ip_address(ip)
    return ip, int(port)


def _check_address(address: str) -> str:
    split_address(address)
    return address


Address = Annotated[str, AfterValidator(_check_address)]
