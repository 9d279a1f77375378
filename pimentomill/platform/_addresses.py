"""Check of addresses that others have written."""

import ipaddress
import re

__all__ = ["is_usable_address"]

MAX_PORT = 65535
MAX_HOST_CHARS = 253
ADDRESS = re.compile(
    r"(?P<host>[^\s/?#@:\[\]]+|\[[^\s/?#@\[\]]+\]):(?P<port>[0-9]{1,5})"
)
LABEL = re.compile(r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?")


def is_usable_address(address: str) -> bool:
    """Return whether a text is a host, or an IP address, and a port.

    Examples
    --------
    >>> is_usable_address("10.0.0.9:8080"), is_usable_address("[::1]:80")
    (True, True)
    >>> is_usable_address("10.0.0.9:99999"), is_usable_address("10.0.0.9")
    (False, False)
    """
    match = ADDRESS.fullmatch(address)
    if match is None or not 0 < int(match["port"]) <= MAX_PORT:
        return False
    host = match["host"]
    if host.startswith("["):
        return _is_ipv6_address(host[1:-1])
    labels = host.split(".")
    return len(host) <= MAX_HOST_CHARS and all(map(LABEL.fullmatch, labels))


def _is_ipv6_address(host: str) -> bool:
    try:
        ipaddress.IPv6Address(host)
    except ValueError:
        return False
    return True
