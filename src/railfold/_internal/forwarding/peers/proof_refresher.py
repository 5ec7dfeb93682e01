"""Child that keeps the proof fresh that this entry's configuration is in force.

The follower's read of the configuration waits for a change, and proves nothing until it
ends. Therefore the proof comes from a few short reads beside the follower's, and from
other entries that have read the store (:class:`ProofExchange`).
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable

from railfold._internal.decisions.log_epoch import LogEpoch
from railfold._internal.decisions.proof_exchange import (
    AskPeer,
    ProofExchange,
    ReadStore,
    Wait,
)
from railfold._internal.errors import LogUnavailableError
from railfold._internal.forwarding.peers.peer_channel import PeerChannel
from railfold._internal.forwarding.peers.peer_messages import ProofReply, ProofRequest
from railfold._internal.forwarding.router import Router
from railfold._internal.forwarding.store.feeds import ConfigurationFeed
from railfold._internal.observability.events import ConfigurationBehind
from railfold._internal.store.follower import ReadableLog
from railfold._internal.store.records import NEWEST_OF_EACH_KEY

__all__ = ["ProofRefresher"]

_STEP_INTERVAL_S = 0.1

# How long this entry may lag behind a newer configuration of another entry before that
# is logged. Without a fault it reads the newer configuration within this time.
_BEHIND_LOG_DELAY_S = 1.0

# The delay before the next read after one that failed, or that didn't return the newest
# configuration that others know. Otherwise all entries would probe the store during an
# outage.
_READ_RETRY_S = 0.6

# The maximum age of a proof that is sent in a reply. Even a proof older than the lease
# is sent, since it shows that the other entries have no newer one either.
_MAX_REPLY_AGE_S = 60.0

# The maximum number of questions whose replies may still arrive.
_MAX_PENDING_QUESTIONS = 16


class ProofRefresher:
    """Gets proofs from other entries and the store, and replies to other entries.

    :param name: name of this entry.
    :param log: a client of the store's log, besides the follower's.
    :param feed: processes the records that the follower hasn't read yet.
    :param on_epoch: called with each epoch of the store's log that was read from the
        store or received from another entry.
    :param on_failure: called when the store doesn't answer.
    :param follower_succeeded: returns whether the follower's last read succeeded. If
        not, the follower's next read proves the same as a read beside it would, and the
        two would share a link that may be slow.
    :param follower_epoch: returns the epoch that the feed's offset belongs to.
    """

    def __init__(
        self,
        name: str,
        router: Router,
        log: ReadableLog,
        stream: str,
        feed: ConfigurationFeed,
        epoch: LogEpoch,
        on_epoch: Callable[[int], None],
        on_failure: Callable[[], None],
        follower_succeeded: Callable[[], bool],
        follower_epoch: Callable[[], int | None],
    ) -> None:
        self._follower_succeeded = follower_succeeded
        self._follower_epoch = follower_epoch
        self._on_failure = on_failure
        self._name = name
        self._router = router
        self._log = log
        self._stream = stream
        self._feed = feed
        self._epoch = epoch
        self._on_epoch = on_epoch
        self._loop = asyncio.get_running_loop()
        self._exchange = ProofExchange(name, router.lease.duration_s, router.rng)
        self._channel: PeerChannel | None = None
        self._pending_questions: dict[int, float] = {}
        self._is_newer_known = False
        self._behind_since_s: float | None = None
        self._behind_logged = False
        self._read_due_s = float("-inf")

    def set_channel(self, channel: PeerChannel) -> None:
        """Use this channel to ask other entries."""
        self._channel = channel

    async def run(self, ready: asyncio.Event) -> None:
        """Keep the proof fresh until cancelled."""
        ready.set()
        while True:
            if self._router.table is not None:
                await self._refresh()
                self._report_lag()
            await asyncio.sleep(_STEP_INTERVAL_S)

    async def _refresh(self) -> None:
        now_s = self._loop.time()
        self._exchange.lease_s = self._router.lease.duration_s
        may_read = now_s >= self._read_due_s
        if self._is_newer_known and may_read:
            self._is_newer_known = False
            if await self._read_store() and self._feed.lacks_newest:
                # The store answers, but lacks a configuration that another entry has
                # read: either the log went back right before this entry started, or
                # this entry refuses that configuration. Without a delay each question
                # would then lead to a read, 7 per second.
                self._router.lease.revoke()
                self._read_due_s = self._loop.time() + _READ_RETRY_S
            return
        peers = self._channel.peers if self._channel is not None else ()
        match self._exchange.step(now_s, self._router.lease.age_s(now_s), peers):
            case Wait():
                pass
            case ReadStore():
                if may_read:
                    await self._read_store()
            case AskPeer(name=name):
                self._ask(name, now_s)

    async def _read_store(self) -> bool:
        """Read the records since the follower's last read, without waiting for more.

        :return: whether the end of the stream was reached.
        """
        sent_s = self._loop.time()
        offset = self._feed.next_offset()
        if offset < 0 or not self._follower_succeeded():
            return False  # The follower must read first.
        self._router.metrics.count("proofs.read")
        try:
            page = await self._log.read(self._stream, offset, 0.0)
            is_restored = page.epoch != self._follower_epoch()
            if is_restored or not page.reaches_end(offset):
                # The follower's read waits on a connection that delivers nothing. Its
                # offset is far behind, or from before the log was restored.
                sent_s = self._loop.time()
                page = await self._log.read(self._stream, NEWEST_OF_EACH_KEY, 0.0)
        except LogUnavailableError:
            self._on_failure()
            self._router.metrics.count("proofs.read_failures")
            self._read_due_s = self._loop.time() + _READ_RETRY_S
            return False
        self._on_epoch(page.epoch)
        if page.epoch != self._epoch.newest or offset != self._feed.next_offset():
            return False  # The follower starts over, or has read more meanwhile.
        if page.epoch != self._follower_epoch():
            self._feed.expired(page.first_offset)
        for record in page.records:
            self._feed.record(record)
        self._feed.caught_up(page.next_offset, sent_s)
        return True

    def _report_lag(self) -> None:
        """Log once when this entry lags behind a newer configuration for too long."""
        now_s = self._loop.time()
        elsewhere = self._feed.newest_peer_version
        table, lease = self._router.table, self._router.lease
        version = table.version if table is not None else 0
        if not self._feed.peer_has_newer:
            self._behind_since_s = None
            self._behind_logged = False
        elif self._behind_since_s is None:
            self._behind_since_s = now_s
        since_s = self._behind_since_s if self._behind_since_s is not None else now_s
        behind_s = now_s - since_s
        self._router.metrics.gauge("configuration.behind_s", behind_s)
        if behind_s >= _BEHIND_LOG_DELAY_S and not self._behind_logged:
            self._behind_logged = True
            self._router.log.write(
                ConfigurationBehind(
                    version,
                    elsewhere,
                    round(behind_s * 1000),
                    round(lease.age_s(now_s) * 1000) if lease.valid(now_s) else None,
                    "" if self._follower_succeeded() else "reads of the store fail",
                )
            )

    # Other entries

    def _ask(self, name: str, now_s: float) -> None:
        assert self._channel is not None
        question = secrets.randbits(32)
        self._pending_questions[question] = now_s
        while len(self._pending_questions) > _MAX_PENDING_QUESTIONS:
            del self._pending_questions[next(iter(self._pending_questions))]
        self._router.metrics.count("proofs.asked")
        table = self._router.table
        version = table.version if table is not None else 0
        epoch = self._epoch.newest or 0
        request = ProofRequest(self._name, question, version, epoch)
        self._channel.send_to(name, request)

    def question_received(self, message: ProofRequest) -> None:
        """Reply to another entry's question, unless this entry's proof is too old."""
        now_s = self._loop.time()
        self._on_epoch(message.epoch)
        if message.epoch == self._epoch.newest:
            self._record_peer_version(message.version)
        table, lease = self._router.table, self._router.lease
        age_s = lease.age_s(now_s)
        can_reply = (
            table is not None and age_s < _MAX_REPLY_AGE_S and self._channel is not None
        )
        if not can_reply or not self._exchange.question_received(now_s):
            return
        assert table is not None
        assert self._channel is not None
        age_ms = int(age_s * 1000) + 1
        epoch = self._epoch.newest or 0
        reply = ProofReply(self._name, message.question, table.version, epoch, age_ms)
        self._channel.send_to(message.name, reply)

    def reply_received(self, message: ProofReply) -> None:
        """Process another entry's reply.

        Its proof also holds for this entry if both know the same configuration version
        of the same epoch. If the other entry knows a newer version, this entry reads
        the store, since its own version is no longer in force. If the other entry knows
        an older version, it may have read that from a store that went back.
        """
        asked_s = self._pending_questions.get(message.question)
        table = self._router.table
        if asked_s is None or table is None:
            return
        self._on_epoch(message.epoch)
        if message.epoch != self._epoch.newest:
            return
        now_s = self._loop.time()
        proved_s = asked_s - message.age_ms / 1000.0
        self._exchange.reply_received(message.name, now_s, now_s - proved_s)
        self._record_peer_version(message.version)
        if message.version == table.version:
            self._router.lease.renew(proved_s)

    def _record_peer_version(self, version: int) -> None:
        """Process another entry's configuration version of the same epoch."""
        table = self._router.table
        if table is not None and version > table.version:
            self._router.metrics.count("proofs.behind")
            self._feed.newest_peer_version = version
            self._is_newer_known = True

    def others_have_proof(self, now_s: float) -> bool:
        """Return whether other entries can validate credentials if this one can't."""
        alone = self._channel is None or not self._channel.peers
        return not alone and self._exchange.others_have_proof(now_s)

    def is_expiring_alone(self, now_s: float) -> bool:
        """Return whether soon only other entries can validate credentials."""
        if self._channel is None or not self._channel.peers:
            return False
        return self._exchange.is_expiring_alone(now_s, self._router.lease.age_s(now_s))
