"""Addresses of listeners and peers, "ip:port"."""

import ipaddress
from typing import Final

__all__ = ["is_address", "is_reachable_address"]

MAX_PORT: Final = 65535


def is_address(address: str) -> bool:
    """Return whether a string has the form "ip:port"."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    # int() raises ValueError for some characters that are digits in Unicode and for
    # very long numbers.
    is_number = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    return is_number and int(port) <= MAX_PORT


def is_reachable_address(address: str) -> bool:
    """Return whether a connection to an address is possible; port 0 is none."""
    return is_address(address) and int(address.rpartition(":")[2]) > 0
