"""Links that this agent opens to the agents of other stages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from railfold._internal.core import Stage, parse_address
from railfold._internal.errors import LinkClosedError, LinkProtocolError
from railfold._internal.links.connection import Link, LinkLimits, LinkMessage
from railfold._internal.links.endpoint import dial, serve_link
from railfold._internal.links.messages import Frame, Hello

__all__ = ["PeerLinks"]

_MAX_QUEUED_MESSAGES = 4096


@dataclass(slots=True)
class _Peer:
    stage: Stage
    link: Link | None = None
    queued_messages: list[LinkMessage] = field(default_factory=list)
    task: asyncio.Task[None] | None = None


class PeerLinks:
    """Opens a link to a stage's agent when the first message for it is sent.

    :param on_lost: called with the name of a host when the link to its agent closes,
        can't be opened, or reaches another incarnation than the chain names.
    """

    def __init__(
        self,
        hello: Hello,
        configuration_version: Callable[[], int],
        limits: LinkLimits,
        on_lost: Callable[[str], None],
    ) -> None:
        self._hello = hello
        self._configuration_version = configuration_version
        self._limits = limits
        self._on_lost = on_lost
        self._peers: dict[tuple[str, int], _Peer] = {}

    def send(self, stage: Stage, message: LinkMessage) -> None:
        """Send a message to a stage's agent; open the link first if there is none.

        Messages are queued until the link is open; those over the limit are dropped.
        """
        key = (stage.address, stage.incarnation)
        peer = self._peers.get(key)
        if peer is None:
            peer = self._peers[key] = _Peer(stage)
            peer.task = asyncio.create_task(self._run(key, peer))
        if peer.link is not None:
            peer.link.send(message)
        elif len(peer.queued_messages) < _MAX_QUEUED_MESSAGES:
            peer.queued_messages.append(message)

    async def close(self) -> None:
        """Close all links and wait until their tasks have ended."""
        tasks = [peer.task for peer in self._peers.values() if peer.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, key: tuple[str, int], peer: _Peer) -> None:
        try:
            link = await dial(
                parse_address(peer.stage.address),
                self._hello,
                self._configuration_version,
                self._limits,
            )
            if link.peer.incarnation == peer.stage.incarnation:
                await self._serve(link, peer)
            else:
                link.close()
        except (LinkClosedError, LinkProtocolError):
            pass
        finally:
            del self._peers[key]
        self._on_lost(peer.stage.host)

    async def _serve(self, link: Link, peer: _Peer) -> None:
        peer.link = link
        for message in peer.queued_messages:
            link.send(message)
        peer.queued_messages.clear()
        await serve_link(link, _SendOnlyHandler())


class _SendOnlyHandler:
    """Handler of links that only send: frames from the peer are ignored."""

    def link_up(self, link: Link) -> None:
        """Do nothing: :class:`PeerLinks` already has the link."""

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Ignore the frame."""

    def link_down(self, link: Link) -> None:
        """Do nothing: :class:`PeerLinks` reports the lost host."""
