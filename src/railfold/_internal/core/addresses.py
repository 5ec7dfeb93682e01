"""Socket addresses in settings and host lists."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass

__all__ = ["Address", "parse_address"]

_MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a TCP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        if ":" in self.ip:
            return f"[{self.ip}]:{self.port}"
        return f"{self.ip}:{self.port}"


def parse_address(text: str) -> Address:
    """Return the address that ``text`` gives in the form ``ip:port``.

    An IPv6 address stands in square brackets.

    :raises ValueError: the text isn't a valid IP address and port.
    """
    ip, separator, port_text = text.rpartition(":")
    if not separator or not port_text.isdigit():
        raise ValueError(f"{text!r} isn't of the form ip:port")
    port = int(port_text)
    if port > _MAX_PORT:
        raise ValueError(f"port {port} in {text!r} is over {_MAX_PORT}")
    return Address(str(ipaddress.ip_address(ip.strip("[]"))), port)
