"""Child that exchanges messages with other entries in datagrams.

A datagram may be lost, and none is acknowledged. What a lost one said must be repeated
in the next one, or be read from the store.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Iterable, Sequence

from absl import logging

from railfold._internal import clock
from railfold._internal.core import Address
from railfold._internal.decisions.peers import Peer, PeerView, SeenMessages
from railfold._internal.errors import PeerMessageError
from railfold._internal.forwarding.peers.peer_messages import (
    Envelope,
    PeerMessage,
    PeerMessageCodec,
)
from railfold._internal.forwarding.quarantine.content_digest import derive_key
from railfold._internal.observability.metrics import Metrics

__all__ = ["PeerChannel"]

# Distinguishes the key of this channel from others derived from the shared key.
_KEY_PURPOSE = b"peers"

# The delay between attempts to open the socket. Another process may be using the port
# until it has exited.
_OPEN_RETRY_S = 5.0
_MESSAGE_ID_BYTES = 8


class PeerChannel(asyncio.DatagramProtocol):
    """Sends messages to other entries, and forwards those that need it.

    Nothing is sent or received before the shared key is set.

    :param address: where this entry receives messages.
    :param on_message: called once with each received message, even if several copies
        of it arrive.
    """

    def __init__(
        self,
        address: Address,
        view: PeerView,
        metrics: Metrics,
        rng: random.Random,
        on_message: Callable[[PeerMessage], None],
    ) -> None:
        self._address = address
        self._view = view
        self._metrics = metrics
        self._rng = rng
        self._on_message = on_message
        self._codec: PeerMessageCodec | None = None
        self._seen_messages = SeenMessages()
        self._transport: asyncio.DatagramTransport | None = None
        self._last_refusal = ""

    def set_key(self, shared_key: bytes) -> None:
        """Set the key that all entries share."""
        self._codec = PeerMessageCodec(derive_key(shared_key, _KEY_PURPOSE))

    async def run(self, ready: asyncio.Event) -> None:
        """Listen until cancelled."""
        ready.set()
        transport = await self._open_socket()
        self._transport = transport
        try:
            await asyncio.Event().wait()
        finally:
            self._transport = None
            transport.close()

    async def _open_socket(self) -> asyncio.DatagramTransport:
        """Open the socket, retrying until it succeeds.

        Meanwhile the entry serves requests, and learns from the store what it must.
        """
        loop = asyncio.get_running_loop()
        local = (self._address.ip, self._address.port)
        while True:
            try:
                transport, _ = await loop.create_datagram_endpoint(
                    lambda: self, local_addr=local
                )
            except OSError as error:
                self._metrics.count("peers.unreachable")
                logging.warning(
                    "cannot listen for messages of other entries on %s: %s",
                    self._address,
                    error,
                )
                await asyncio.sleep(_OPEN_RETRY_S)
            else:
                return transport

    @property
    def peers(self) -> Sequence[str]:
        """The names of the other entries; none before the key is set."""
        return self._view.names if self._codec is not None else ()

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message to all other entries, by gossip if the fleet is large."""
        self._send_message(message, self._view.sample(self._rng, ()), direct=False)

    def send_to_sample(self, message: PeerMessage) -> None:
        """Send a message to some random entries, which don't forward it."""
        self._send_message(message, self._view.sample(self._rng, ()), direct=True)

    def send_to(self, name: str, message: PeerMessage) -> None:
        """Send a message to one entry, if it is known."""
        peer = self._view.get(name)
        if peer is not None:
            self._send_message(message, [peer], direct=True)

    def send_to_each(self, names: Iterable[str], message: PeerMessage) -> None:
        """Send a message to the named entries that are known."""
        peers = [peer for name in names if (peer := self._view.get(name)) is not None]
        self._send_message(message, peers, direct=True)

    @property
    def names_by_domain(self) -> dict[str, list[str]]:
        """Entries that announce load, by failure domain, including this entry."""
        return self._view.names_by_domain()

    def _send_message(
        self, message: PeerMessage, peers: Iterable[Peer], *, direct: bool
    ) -> None:
        envelope = Envelope(
            self._view.own.name,
            secrets.token_bytes(_MESSAGE_ID_BYTES),
            int(clock.unix_time_s() * 1000),
            message,
            direct,
        )
        self._seen_messages.add(envelope.message_id)
        if self._codec is not None:
            self._send_datagram(self._codec.encode(envelope), peers)

    def _send_datagram(self, datagram: bytes, peers: Iterable[Peer]) -> None:
        if self._transport is None:
            return
        for peer in peers:
            self._transport.sendto(datagram, (peer.address.ip, peer.address.port))
            self._metrics.count("peers.sent")

    # asyncio.DatagramProtocol

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a datagram; forward its message if the sender can't reach all."""
        if self._codec is None:
            return
        try:
            envelope = self._codec.decode(data, clock.unix_time_s())
        except PeerMessageError as error:
            self._refuse(str(error), addr)
            return
        if not self._seen_messages.add(envelope.message_id):
            return
        self._metrics.count("peers.received")
        if self._view.needs_relay and not envelope.direct:
            self._send_datagram(data, self._view.sample(self._rng, (envelope.sender,)))
        self._on_message(envelope.message)

    def _refuse(self, cause: str, addr: tuple[str, int]) -> None:
        self._metrics.count("peers.refused")
        if cause != self._last_refusal:  # Logs a flood of such datagrams once.
            self._last_refusal = cause
            logging.warning("rejected a datagram from %s: %s", addr[0], cause)

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that couldn't be delivered; the receiver may start later."""
        self._metrics.count("peers.unreachable")
        logging.debug("a datagram could not be delivered: %s", exc)
