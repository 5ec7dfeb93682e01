"""Opens the listening sockets before the rest of the program is imported.

After a crash, clients can't connect until the restarted process listens, and importing
the program takes several times as long as opening its sockets. Clients that connect
during the import wait in the kernel's accept queue instead of being refused. This
module therefore imports as little as possible.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass

from railfold._internal.core.addresses import Address
from railfold._internal.errors import ListenError
from railfold._internal.forwarding.settings import ForwardingSettings

__all__ = ["Listeners", "open_listeners"]

# Connections that may wait to be accepted. All clients of an entry reconnect at once
# after a crash; at the first sites these are about 30.
_ACCEPT_BACKLOG = 1024


@dataclass(slots=True)
class Listeners:
    """Listening sockets whose connections aren't accepted yet.

    :param clients: the socket for clients.
    :param readiness: the socket for the load balancer's readiness probes.
    """

    clients: socket.socket
    readiness: socket.socket


def open_listeners(settings: ForwardingSettings) -> Listeners:
    """Open the listening sockets of a forwarding entry.

    :raises ListenError: a socket can't listen on its address.
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
