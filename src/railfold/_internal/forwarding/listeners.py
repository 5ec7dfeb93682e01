"""Sockets that listen before the rest of the program is imported.

A daemon that was killed is away until it listens again, and importing it takes
several times as long as opening its sockets. Clients that connect meanwhile wait
in the kernel's queue instead of being turned away. This module imports next to
nothing for that reason.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass

from railfold._internal.core.addresses import Address
from railfold._internal.errors import ListenError
from railfold._internal.forwarding.settings import ForwardingSettings

__all__ = ["Listeners", "open_listeners"]

# Connections that may wait to be accepted: about 30 clients an entry on the first
# sites, all of which come again at once after a kill.
_ACCEPT_BACKLOG = 1024


@dataclass(slots=True)
class Listeners:
    """Listening sockets that no server accepts from yet.

    :param clients: where clients come.
    :param readiness: where the balancer asks whether they may.
    """

    clients: socket.socket
    readiness: socket.socket


def open_listeners(settings: ForwardingSettings) -> Listeners:
    """Listen on a forwarding entry's addresses.

    :raises ListenError: an address can't be listened on.
    """
    return Listeners(
        _listen(settings.client_address), _listen(settings.readiness_address)
    )


def _listen(address: Address) -> socket.socket:
    try:
        listener = socket.create_server(
            (address.ip, address.port), backlog=_ACCEPT_BACKLOG
        )
    except OSError as error:
        raise ListenError(
            f"{address} can't be listened on", why=error.strerror or str(error)
        ) from error
    listener.setblocking(False)
    return listener
