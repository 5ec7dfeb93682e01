"""Clients of the platform's metadata store; each has its own connection."""

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
from railfold._internal.decoding import decode_json
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

# In addition to the time for which the store itself may wait. It usually answers within
# 4 ms, and takes up to 60 times as long when it is overloaded.
_ANSWER_TIMEOUT_S = 1.0

# An answer to a read may take longer in total, as long as bytes arrive at least this
# often: a large record occupies a slow link for seconds.
_READ_STALL_TIMEOUT_S = 1.0

# Limit on one read: a slow link of 10 Mbit/s transfers this within 0.1 s.
_READ_KB = 128

# Limit on an answer. One record, such as a configuration with thousands of routes, may
# be larger than a read or a page.
_MAX_ANSWER_BYTES = 32 * 1024 * 1024

_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412

# Increases by one whenever the store is restored from an older copy.
_EPOCH_HEADER = "Store-Era"

_JSON = "application/json"
_RAW = "application/octet-stream"

# Far above any real epoch, which increases by one per restore. A fencing token has room
# for an epoch up to this limit beside the generation.
_MAX_EPOCH = 2**16

# All streams use only the first partition of their topic.
_PARTITION = 0

# The store assigns the partitions of at most this many topics to a group and silently
# ignores further topics. A member's share of the partitions shows how many members
# there are. Members ask for no topics beyond this limit; if there are more entries than
# partitions, the number of entries follows from the entries' own list.
_MAX_TOPICS = 20

# With this many partitions, shares are precise enough to count some hundred members.
# More partitions would make each renewal larger.
_MIN_PARTITIONS = 400

_PAGE_HEAD = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")

T = TypeVar("T")


class _NewestItem(msgspec.Struct, frozen=True):
    """A key's newest record; a ``value`` of None means that the key was removed.

    The value is encoded in base64.
    """

    key: str
    offset: int
    value: str | None = None


class _NewestPage(msgspec.Struct, frozen=True):
    """Some keys with their newest records, in the order of keys.

    ``end`` is the offset at which the stream ended when the page was read;
    ``more_pages`` says that more keys follow.
    """

    items: list[_NewestItem]
    end: int
    more_pages: bool = False


class _JoinAnswer(msgspec.Struct, frozen=True):
    """Answer to a member that joins a group or renews its membership.

    ``parts`` lists the partitions assigned to the member, each as topic, partition and
    committed offset.
    """

    generation: int
    parts: list[tuple[str, int, int]] = []


class _StoreConnection:
    """Makes calls to the store, one at a time, over its own connection."""

    def __init__(self, address: Address) -> None:
        self._connection = PersistentConnection(address, _MAX_ANSWER_BYTES)

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        wait_s: float = 0.0,
        content_type: str = _JSON,
        stall_timeout_s: float | None = None,
    ) -> Response:
        """Make a call; return an answer with status 200 or 412 (precondition failed).

        :param wait_s: for how long the store may wait before it answers.
        :param stall_timeout_s: if given, the answer may take longer in total, as long
            as bytes of it arrive at least this often.
        :raises RecordsExpiredError: the requested records have expired.
        :raises LogUnavailableError: no answer arrived in time, or it is an error.
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
    """Reads and writes keyed streams, which keep the newest record of each key."""

    def __init__(self, address: Address) -> None:
        self._store = _StoreConnection(address)

    async def read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        """Return records from ``offset`` on, or the newest record of each key.

        If there are more records than fit into one answer, only the first ones are
        returned, possibly none.

        :param offset: negative to get the newest record of each key.
        :param wait_s: for how long to wait for a record if there is none.
        :raises RecordsExpiredError: ``offset`` is before the first retained record.
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
        """Write the newest record of a key; an empty value removes the key.

        :param expected_end: write only if the stream ends at this offset.
        :return: whether the record was written; False if the stream ends elsewhere.
        :raises LogUnavailableError: no answer arrived; the record may have been written
            or may still be.
        """
        fields: dict[str, str | int] = {"topic": stream, "part": _PARTITION}
        if expected_end is not None:
            # Takes the offset at which the stream ends, despite its name.
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
        first_end: int | None = None
        while True:
            fields = {"topic": stream, "part": _PARTITION}
            if after:
                # Takes the last key of the previous page, despite its name.
                fields["after_rev"] = after
            query = urlencode(fields)
            response = await self._store.call(
                "GET",
                f"/railfold/log-newest?{query}",
                stall_timeout_s=_READ_STALL_TIMEOUT_S,
            )
            transfer_s += response.transfer_s
            if epoch not in (None, _epoch_of(response)):
                raise LogUnavailableError(
                    "the store was restored from an older copy during a read"
                )
            epoch = _epoch_of(response)
            # A key that isn't valid UTF-8 must not make the other records unreadable.
            text = response.body.decode("utf-8", "replace")
            page = _decode_json(text, _NewestPage)
            if first_end is None:
                first_end = page.end
            records += [_decode_newest_item(item) for item in page.items]
            last = page.items[-1].key if page.items else after
            if not page.more_pages or last == after:
                # The pages form no snapshot: a key of an earlier page may have changed
                # since. Records from the first page's end on are read again.
                records.sort(key=lambda record: record.offset)
                return LogPage(records, 0, first_end, transfer_s, epoch)
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
    """Decode a page of records, the first of which is at ``offset``.

    The body contains the offset at which the stream ends, the first retained offset,
    and then records, each preceded by its length.
    """
    body = response.body
    if len(body) < _PAGE_HEAD.size:
        raise LogUnavailableError("the store's answer is truncated")
    end, first = _PAGE_HEAD.unpack_from(body)
    records: list[LogRecord] = []
    position = _PAGE_HEAD.size
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + length > len(body):
            raise LogUnavailableError("a record in the store's answer is truncated")
        record = body[position : position + length]
        records.append(LogRecord(offset, 0.0, _decode_keyed_value(record)))
        position += length
        offset += 1
    return LogPage(records, first, end, response.transfer_s, _epoch_of(response))


def _epoch_of(response: Response) -> int:
    """Return the store's epoch from an answer's header; 0 if the header is missing.

    :raises LogUnavailableError: the header is invalid.
    """
    text = response.head.get(_EPOCH_HEADER, "0")
    if not (text.isascii() and text.isdigit()) or int(text) > _MAX_EPOCH:
        raise LogUnavailableError("the store's epoch is invalid", why=text[:40])
    return int(text)


def _decode_keyed_value(record: bytes) -> KeyedValue:
    """Decode a record: the length of the key in one byte, the key, and the value.

    Invalid bytes in a key are replaced. Such a key isn't usable, but the reader of the
    record can name it when it reports the record.
    """
    key_length = record[0] if record else 0
    key = record[1 : 1 + key_length].decode("utf-8", "replace")
    return KeyedValue(key, record[1 + key_length :])


def _decode_json(body: bytes | str, type_: type[T]) -> T:
    try:
        return decode_json(body, type_)
    except msgspec.DecodeError as error:
        raise LogUnavailableError(
            "the store's answer is invalid", why=str(error)
        ) from error


class GroupLease:
    """A lease based on a group: the member with the first partition holds the lease.

    The members with the first three partitions, the middle one and the last one are the
    candidates for the leases of duties. These are three to five members, whether the
    store assigns partitions round-robin or in ranges.

    Partitions are assigned evenly, so that a member's share shows how many members
    there are (:class:`PartitionAssignment`). The group's generation increases with
    every change of its members. It falls when the store is restored from an older copy,
    so the fencing token combines the store's epoch with the generation.

    :param duty: name of the duty, which is a part of the names of group and topics.
    :param partitions: number of partitions of each topic.
    :param min_partitions: the group uses enough topics for this many partitions, as far
        as the store allows.
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
        """Request the lease, or renew it, for ``duration_s``.

        :param holder: the caller's member id in the group.
        :raises LogUnavailableError: no valid answer arrived.
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
            raise LogUnavailableError("the store's answer has an outdated epoch")
        joined = _decode_json(response.body, _JoinAnswer)
        assigned = {(row[0], row[1]) for row in joined.parts}
        # After a restore of the store, the generation in this request is from the lost
        # history. The assignment counts only once a request with the new generation has
        # been answered.
        same_history = epoch == self._epoch or self._generation == 0
        self._epoch = epoch
        self._generation = joined.generation if same_history else 0
        is_holder = (self._topics[0], _PARTITION) in assigned and same_history
        token = fencing_token(epoch, self._generation_base + joined.generation)
        assignment = PartitionAssignment(token, len(joined.parts), self._partitions)
        is_candidate = not assigned.isdisjoint(self._candidate_partitions)
        return LeaseGrant(is_holder, token, assignment, epoch, is_candidate)

    async def release(self, holder: str) -> None:
        """Release the lease by leaving the group.

        :raises LogUnavailableError: no valid answer arrived.
        """
        body = msgspec.json.encode({"group": self._group, "member": holder})
        await self._store.call("POST", "/railfold/log-leave", body)


class DutyLease(GroupLease):
    """The lease of a duty, for which only candidates ask.

    Its fencing tokens are higher than those of the group of all members within the same
    epoch, since the same duty may have been performed under a token of that group.
    """

    _generation_base = 2**35

    def __init__(self, address: Address, duty: str, partitions: int) -> None:
        super().__init__(address, f"{duty}-leader", partitions, min_partitions=1)
