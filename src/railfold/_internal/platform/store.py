"""Client of the platform's metadata store.

Every client keeps one connection of its own.
"""

from __future__ import annotations

import base64
import math
import struct
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from railfold._internal.core import Address
from railfold._internal.decisions.fleet_size import PartitionAssignment
from railfold._internal.decisions.leadership import LeaseGrant
from railfold._internal.decisions.log_epoch import fencing_token
from railfold._internal.errors import (
    EngineError,
    LogUnavailableError,
    RecordsExpiredError,
)
from railfold._internal.forwarding.adapter import KeyedValue
from railfold._internal.forwarding.messages import Header
from railfold._internal.forwarding.servers.http_client import Response
from railfold._internal.forwarding.servers.persistent_connection import (
    PersistentConnection,
)
from railfold._internal.store.records import LogPage, LogRecord

__all__ = ["DutyLease", "GroupLease", "KeyedLog"]

# Beyond the time that the store itself may wait. It answers in 4 ms, and up to
# 60 times as slow in its bad times.
_ANSWER_TIMEOUT_S = 1.0

# An answer to a read may take longer, as long as some of it arrives in each such time:
# a large record fills a slow link for seconds.
_READ_STALL_TIMEOUT_S = 1.0

# A slow link of 10 Mbit/s carries it in a tenth of a second.
_READ_KB = 128

_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412

# Rises by one whenever the store comes back from an older copy.
_EPOCH_HEADER = "Store-Era"

_JSON = "application/json"
_RAW = "application/octet-stream"

# Far beyond what it can reach by rising one by one; a token keeps it beside others.
_MAX_EPOCH = 2**16

# All streams of the system have one partition that is used: the first.
_PARTITION = 0

# The store deals out the partitions of no more topics than this to a group, and passes
# over the others without a word. One's share of them tells how many members there are.
# All that it deals are asked for; where there are more entries than partitions, their
# own list tells how many there are.
_MAX_TOPICS = 20

# As many as one's share tells well enough among some hundred; more make each renewal
# larger.
_MIN_PARTITIONS = 400

_PAGE_HEAD = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")

T = TypeVar("T")


class _NewestItem(msgspec.Struct, frozen=True):
    """``value`` is in base64; none means that the key is gone."""

    key: str
    offset: int
    value: str | None = None


class _NewestPage(msgspec.Struct, frozen=True):
    """``more_pages`` is true if keys follow; ``end`` is the stream's end."""

    items: list[_NewestItem]
    end: int
    more_pages: bool = False


class _JoinAnswer(msgspec.Struct, frozen=True):
    """``parts`` are rows of topic, partition and committed offset."""

    generation: int
    parts: list[tuple[str, int, int]] = []


class _StoreConnection:
    """Makes one call at a time, over a connection of its own."""

    def __init__(self, address: Address) -> None:
        self._connection = PersistentConnection(address)

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        wait_s: float = 0.0,
        content_type: str = _JSON,
        stall_timeout_s: float | None = None,
    ) -> Response:
        """Make a call; return its answer: done, or refused for its condition.

        :raises LogUnavailableError: no sound answer came.
        """
        headers: list[Header] = [("Host", str(self._connection.address))]
        if body:
            headers.append(("Content-Type", content_type))
        timeout_s = wait_s + _ANSWER_TIMEOUT_S
        try:
            response = await self._connection.call(
                method, target, headers, body, timeout_s, stall_timeout_s
            )
        except EngineError as error:
            raise LogUnavailableError(
                "the store doesn't answer", why=str(error)
            ) from error
        if response.head.status == _GONE:
            raise RecordsExpiredError("records of the store have expired")
        if response.head.status not in (_OK, _PRECONDITION_FAILED):
            raise LogUnavailableError(f"the store answered {response.head.status}")
        return response


class KeyedLog:
    """Reads and writes streams that keep the newest record of each key."""

    def __init__(self, address: Address) -> None:
        self._store = _StoreConnection(address)

    async def read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        """Return records from ``offset`` on, or the newest of each key.

        Of many records the first ones are returned, perhaps none.

        :param offset: negative to get the newest record of each key.
        :raises RecordsExpiredError: ``offset`` is before the first kept record.
        :raises LogUnavailableError: the store can't be read now.
        """
        if offset < 0:
            return await self._read_newest(stream)
        query = urlencode(
            {
                "topic": stream,
                "part": _PARTITION,
                "from": offset,
                "wait_ms": int(wait_s * 1000),
                "max_kb": _READ_KB,
            }
        )
        response = await self._store.call(
            "GET",
            f"/railfold/log-read?{query}",
            wait_s=wait_s,
            stall_timeout_s=_READ_STALL_TIMEOUT_S,
        )
        return _decode_page(response, offset)

    async def put(
        self, stream: str, key: str, value: bytes, expected_end: int | None = None
    ) -> bool:
        """Write the newest record of a key; no value takes it away.

        :param expected_end: write only if the stream ends there.
        :return: whether it was written; not, if the stream ends elsewhere.
        :raises LogUnavailableError: no answer came; it may be written, also later.
        """
        fields: dict[str, str | int] = {"topic": stream, "part": _PARTITION}
        if expected_end is not None:
            # The name says revision; it takes the offset at which the stream ends.
            fields["current_rev"] = expected_end
        name = key.encode()
        record = bytes([len(name)]) + name + value
        response = await self._store.call(
            "POST",
            f"/railfold/log-append?{urlencode(fields)}",
            _LENGTH.pack(len(record)) + record,
            content_type=_RAW,
        )
        return response.head.status == _OK

    async def _read_newest(self, stream: str) -> LogPage:
        records: list[LogRecord] = []
        transfer_s = 0.0
        after = ""
        epoch: int | None = None
        while True:
            fields = {"topic": stream, "part": _PARTITION}
            if after:
                # The name says revision; it takes the last key of a page.
                fields["after_rev"] = after
            query = urlencode(fields)
            response = await self._store.call(
                "GET",
                f"/railfold/log-newest?{query}",
                stall_timeout_s=_READ_STALL_TIMEOUT_S,
            )
            transfer_s += response.transfer_s
            if epoch not in (None, _epoch_of(response)):
                raise LogUnavailableError("the store went back while it was read")
            epoch = _epoch_of(response)
            # A key that isn't UTF-8 must not hide the records beside it.
            text = response.body.decode("utf-8", "replace")
            page = _decode_json(text, _NewestPage)
            records += [_decode_newest_item(item) for item in page.items]
            last = page.items[-1].key if page.items else after
            if not page.more_pages or last == after:
                # The first page's end: what came since is read again.
                records.sort(key=lambda record: record.offset)
                return LogPage(records, 0, page.end, transfer_s, epoch)
            after = last


def _decode_newest_item(item: _NewestItem) -> LogRecord:
    try:
        value = base64.b64decode(item.value, validate=True) if item.value else b""
    except ValueError as error:
        raise LogUnavailableError(
            "a record in the store's answer isn't base64", why=str(error)
        ) from error
    return LogRecord(item.offset, 0.0, KeyedValue(item.key, value))


def _decode_page(response: Response, offset: int) -> LogPage:
    """Decode the end, the first kept offset, then records with their lengths."""
    body = response.body
    if len(body) < _PAGE_HEAD.size:
        raise LogUnavailableError("the store's answer is cut short")
    end, first = _PAGE_HEAD.unpack_from(body)
    records: list[LogRecord] = []
    position = _PAGE_HEAD.size
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + length > len(body):
            raise LogUnavailableError("a record in the store's answer is cut short")
        record = body[position : position + length]
        records.append(LogRecord(offset, 0.0, _decode_keyed_value(record)))
        position += length
        offset += 1
    return LogPage(records, first, end, response.transfer_s, _epoch_of(response))


def _epoch_of(response: Response) -> int:
    """Return the epoch that an answer tells; 0 for a store that tells none.

    :raises LogUnavailableError: it can't be read.
    """
    text = response.head.get(_EPOCH_HEADER, "0")
    if not (text.isascii() and text.isdigit()) or int(text) > _MAX_EPOCH:
        raise LogUnavailableError("the store's epoch can't be read", why=text[:40])
    return int(text)


def _decode_keyed_value(record: bytes) -> KeyedValue:
    """Decode a key's length, the key and the value.

    A key that isn't text is kept recognizable: it is of no use, and its reader says so.
    """
    key_length = record[0] if record else 0
    key = record[1 : 1 + key_length].decode("utf-8", "replace")
    return KeyedValue(key, record[1 + key_length :])


def _decode_json(body: bytes | str, type_: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=type_)
    except msgspec.DecodeError as error:
        raise LogUnavailableError(
            "the store's answer can't be read", why=str(error)
        ) from error


class GroupLease:
    """A lease made of a group: who is dealt the first partition holds it.

    The first three partitions, the middle and the last one name the candidates for
    other duties: three to five members, whether partitions are dealt in turn or in
    ranges.

    Partitions are dealt out evenly, so that a member's share tells how many
    members there are (:class:`PartitionAssignment`). The group's generation rises with
    every change of its members. It falls when the store comes back from an older copy,
    so that the fencing token is made of the store's epoch and the generation.
    """

    _generation_base = 0

    def __init__(
        self,
        address: Address,
        duty: str,
        partitions: int,
        min_partitions: int = _MIN_PARTITIONS,
    ) -> None:
        topics = min(_MAX_TOPICS, math.ceil(min_partitions / partitions))
        self._partitions = topics * partitions
        self._store = _StoreConnection(address)
        self._group = f"railfold-{duty}"
        self._topics = [f"railfold-{duty}-{n}" for n in range(topics)]
        self._generation = 0
        self._epoch = 0
        numbers = {0, 1, 2, self._partitions // 2, self._partitions - 1}
        self._candidate_partitions = {
            (self._topics[number // partitions], number % partitions)
            for number in numbers
        }

    async def renew(self, holder: str, duration_s: float) -> LeaseGrant:
        """Ask for the lease, or keep it.

        :raises LogUnavailableError: no answer came.
        """
        body = msgspec.json.encode(
            {
                "group": self._group,
                "member": holder,
                "topics": self._topics,
                "ttl_ms": int(duration_s * 1000),
                "generation": self._generation,
            }
        )
        response = await self._store.call("POST", "/railfold/log-join", body)
        epoch = _epoch_of(response)
        if epoch < self._epoch:
            raise LogUnavailableError("an answer of the store's older epoch")
        joined = _decode_json(response.body, _JoinAnswer)
        assigned = {(row[0], row[1]) for row in joined.parts}
        # This answer is to a generation of another history: what it deals is taken
        # once it was asked for with the present one.
        same_history = epoch == self._epoch or self._generation == 0
        self._epoch = epoch
        self._generation = joined.generation if same_history else 0
        is_holder = (self._topics[0], _PARTITION) in assigned and same_history
        token = fencing_token(epoch, self._generation_base + joined.generation)
        assignment = PartitionAssignment(token, len(joined.parts), self._partitions)
        is_candidate = not assigned.isdisjoint(self._candidate_partitions)
        return LeaseGrant(is_holder, token, assignment, epoch, is_candidate)

    async def release(self, holder: str) -> None:
        """Give the lease back.

        :raises LogUnavailableError: no answer came.
        """
        body = msgspec.json.encode({"group": self._group, "member": holder})
        await self._store.call("POST", "/railfold/log-leave", body)


class DutyLease(GroupLease):
    """The lease of a duty, among its candidates.

    Its tokens lie above those of a group of all members, under which the same duty may
    have been done.
    """

    _generation_base = 2**35

    def __init__(self, address: Address, duty: str, partitions: int) -> None:
        super().__init__(address, f"{duty}-leader", partitions, min_partitions=1)
