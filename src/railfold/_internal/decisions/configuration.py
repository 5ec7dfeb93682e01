"""The configuration in force, computed from the records of the platform's log.

The order of the records in the log is authoritative. A change names the version of the
object that it was based on; if the object has changed since, the change is a conflict
and has no effect. Every process folds the same records with the same function, and so
arrives at the same state, version and audit trail.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec
from pydantic import BaseModel, ValidationError

from railfold._internal.core import LayerRange
from railfold._internal.decisions.configuration_models import (
    MODELS,
    PipelineModel,
    ServiceModel,
    WorkspaceModel,
)
from railfold._internal.decisions.policy import Policy
from railfold._internal.errors import ConfigurationRefusedError

__all__ = [
    "AuditEntry",
    "AuditVerdict",
    "ChangeRecord",
    "CheckpointRecord",
    "Configuration",
    "ConfigurationRecord",
    "ObjectId",
    "Pipeline",
    "Service",
    "StoredObject",
    "Workspace",
    "state_digest",
    "validate_body",
]

_MAX_AUDIT_ENTRIES = 2000


@dataclass(frozen=True, slots=True)
class ObjectId:
    """Kind and name of a configuration object."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


class ChangeRecord(msgspec.Struct, tag="change", frozen=True):
    """A change of one object by an operator; a ``body`` of None deletes the object."""

    write_id: str
    operator: str
    kind: str
    name: str
    base_version: int
    body: dict[str, Any] | None


class CheckpointRecord(msgspec.Struct, tag="checkpoint", frozen=True):
    """The complete state as of ``covers_offset``, for later readers of the log."""

    write_id: str
    writer: str
    covers_offset: int
    digest: str
    state: dict[str, Any]


ConfigurationRecord = ChangeRecord | CheckpointRecord


class AuditVerdict(Enum):
    """Outcome of a change or checkpoint."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REFUSED = "refused"
    CHECKPOINT_REFUSED = "checkpoint_refused"


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """One line of the audit trail."""

    offset: int
    appended_s: float
    operator: str
    write_id: str
    target: str
    from_version: int
    to_version: int
    verdict: AuditVerdict
    reasons: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object's body and version, and the operator who changed it last."""

    version: int
    operator: str
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace of the configuration in force."""

    name: str
    credentials_sha256: frozenset[str]
    pipelines: frozenset[str]
    services: frozenset[str]
    weight: float
    max_in_flight: int
    policy: Policy | None


@dataclass(frozen=True, slots=True)
class Pipeline:
    """A pipeline of the configuration in force.

    :param placements: layer ranges by host.
    """

    name: str
    model: str
    version: str
    layer_count: int
    placements: dict[str, LayerRange]


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service of the configuration in force."""

    name: str
    hosts: list[str]


def validate_body(kind: str, name: str, body: dict[str, Any]) -> BaseModel:
    """Return the validated model of a change's body.

    :raises ConfigurationRefusedError: the body is invalid; lists every fault found.
    """
    target = f"{kind}/{name}"
    model = MODELS.get(kind)
    if model is None:
        kinds = ", ".join(MODELS)
        raise ConfigurationRefusedError(target, [f"kind must be one of: {kinds}"])
    try:
        return model.model_validate(body)
    except ValidationError as error:
        faults = [_fault_text(fault) for fault in error.errors()]
        raise ConfigurationRefusedError(target, faults) from error


def _fault_text(fault: Mapping[str, Any]) -> str:
    """Return the text of a validation error, with its location in the body."""
    location = ".".join(str(part) for part in fault["loc"])
    return f"{location}: {fault['msg']}" if location else str(fault["msg"])


@dataclass(slots=True)
class Configuration:
    """The configuration in force, updated by folding records of the log.

    ``version`` is one more than the offset of the last accepted change, so that it
    never decreases. ``next_offset`` is the first offset not yet folded.
    """

    version: int = 0
    next_offset: int = 0
    objects: dict[ObjectId, StoredObject] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    pipelines: dict[str, Pipeline] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    audit: deque[AuditEntry] = field(
        default_factory=lambda: deque(maxlen=_MAX_AUDIT_ENTRIES)
    )

    def fold(
        self, offset: int, appended_s: float, record: ConfigurationRecord
    ) -> AuditEntry | None:
        """Apply one record of the log and return its audit entry.

        Returns None, without any effect, for a record that was folded before, and None
        for a checkpoint that doesn't contradict this state.

        :param appended_s: time at which the record was appended to the log.
        """
        if offset < self.next_offset:
            return None
        self.next_offset = offset + 1
        match record:
            case ChangeRecord():
                entry = self._apply_change(offset, appended_s, record)
            case CheckpointRecord():
                return self._compare_checkpoint(offset, appended_s, record)
        self.audit.append(entry)
        return entry

    def skip(self, offset: int) -> None:
        """Skip a record that can't be read."""
        self.next_offset = max(self.next_offset, offset + 1)

    def _apply_change(
        self, offset: int, appended_s: float, record: ChangeRecord
    ) -> AuditEntry:
        target = ObjectId(record.kind, record.name)
        stored = self.objects.get(target)
        current = stored.version if stored else 0

        def audit_entry(
            verdict: AuditVerdict, to_version: int, reasons: tuple[str, ...] = ()
        ) -> AuditEntry:
            return AuditEntry(
                offset,
                appended_s,
                record.operator,
                record.write_id,
                str(target),
                record.base_version,
                to_version,
                verdict,
                reasons,
            )

        if record.base_version != current:
            last_operator = stored.operator if stored else "nobody (the object is gone)"
            reason = (
                f"{target} is at version {current}, last changed by {last_operator}"
            )
            return audit_entry(AuditVerdict.CONFLICT, current, (reason,))
        try:
            self._apply_to_object(target, record, offset + 1)
        except ConfigurationRefusedError as error:
            return audit_entry(AuditVerdict.REFUSED, current, tuple(error.faults))
        self.version = offset + 1
        return audit_entry(AuditVerdict.ACCEPTED, self.version)

    def _apply_to_object(
        self, target: ObjectId, record: ChangeRecord, version: int
    ) -> None:
        if record.body is None:
            self._check_deletion(target)
            self.objects.pop(target, None)
            self._drop_view(target)
            return
        model = validate_body(record.kind, record.name, record.body)
        self._check_references(target, model)
        self.objects[target] = StoredObject(version, record.operator, record.body)
        self._set_view(target, model)

    def check(self, target: ObjectId, body: dict[str, Any] | None) -> None:
        """Check a change against this state without applying it.

        :param body: the new body; None checks a deletion.
        :raises ConfigurationRefusedError: the change is invalid; lists every fault
            found.
        """
        if body is None:
            self._check_deletion(target)
            return
        self._check_references(target, validate_body(target.kind, target.name, body))

    def _check_deletion(self, target: ObjectId) -> None:
        if target not in self.objects:
            raise ConfigurationRefusedError(str(target), ["it doesn't exist"])
        users = [
            workspace.name
            for workspace in self.workspaces.values()
            if (target.kind == "pipeline" and target.name in workspace.pipelines)
            or (target.kind == "service" and target.name in workspace.services)
        ]
        if users:
            faults = [f"workspace {name} still uses it" for name in sorted(users)]
            raise ConfigurationRefusedError(str(target), faults)

    def _check_references(self, target: ObjectId, model: BaseModel) -> None:
        if not isinstance(model, WorkspaceModel):
            return
        faults = [
            f"pipeline {name} doesn't exist"
            for name in model.pipelines
            if name not in self.pipelines
        ]
        faults += [
            f"service {name} doesn't exist"
            for name in model.services
            if name not in self.services
        ]
        if faults:
            raise ConfigurationRefusedError(str(target), faults)

    def _set_view(self, target: ObjectId, model: BaseModel) -> None:
        name = target.name
        match model:
            case WorkspaceModel():
                self.workspaces[name] = _build_workspace(name, model)
            case PipelineModel():
                self.pipelines[name] = _build_pipeline(name, model)
            case ServiceModel():
                self.services[name] = Service(name, list(model.hosts))

    def _drop_view(self, target: ObjectId) -> None:
        match target.kind:
            case "workspace":
                self.workspaces.pop(target.name, None)
            case "pipeline":
                self.pipelines.pop(target.name, None)
            case "service":
                self.services.pop(target.name, None)

    def _compare_checkpoint(
        self, offset: int, appended_s: float, record: CheckpointRecord
    ) -> AuditEntry | None:
        # A checkpoint never changes a state that was folded from records. It is for
        # readers for which the earlier records have expired; see `restore`.
        if record.state.get("version") != self.version:
            return None  # It is of another version, so the digests can't be compared.
        if record.digest == self.digest():
            return None
        entry = AuditEntry(
            offset,
            appended_s,
            record.writer,
            record.write_id,
            "checkpoint",
            self.version,
            self.version,
            AuditVerdict.CHECKPOINT_REFUSED,
            ("its digest differs from that of this process's state",),
        )
        self.audit.append(entry)
        return entry

    def to_state(self) -> dict[str, Any]:
        """Return the state as plain data, without the audit trail."""
        objects = [
            {
                "kind": target.kind,
                "name": target.name,
                "version": stored.version,
                "operator": stored.operator,
                "body": stored.body,
            }
            for target, stored in sorted(
                self.objects.items(), key=lambda item: str(item[0])
            )
        ]
        return {"version": self.version, "objects": objects}

    def encoded_state(self) -> bytes:
        """Return the state as canonical JSON."""
        return msgspec.json.encode(self.to_state(), order="sorted")

    def digest(self) -> str:
        """Return the digest of :meth:`encoded_state`."""
        return state_digest(self.encoded_state())

    def restore(self, state: dict[str, Any], next_offset: int) -> bool:
        """Replace this state by a newer one, from a checkpoint or from a peer.

        :param next_offset: the first offset that isn't part of ``state``.
        :returns: False, without any change, if ``state`` isn't newer.
        :raises ConfigurationRefusedError: an object in ``state`` is invalid.
        """
        if (state["version"], next_offset) <= (self.version, self.next_offset):
            return False
        restored = Configuration()
        order = {"pipeline": 0, "service": 1, "workspace": 2}
        for item in sorted(state["objects"], key=lambda o: order.get(o["kind"], 3)):
            target = ObjectId(item["kind"], item["name"])
            model = validate_body(target.kind, target.name, item["body"])
            restored.objects[target] = StoredObject(
                item["version"], item["operator"], item["body"]
            )
            restored._set_view(target, model)
        self.objects = restored.objects
        self.workspaces = restored.workspaces
        self.pipelines = restored.pipelines
        self.services = restored.services
        self.version = state["version"]
        self.next_offset = max(self.next_offset, next_offset)
        return True


def state_digest(encoded_state: bytes) -> str:
    """Return the BLAKE2b digest of a canonically encoded state, in hexadecimal."""
    return hashlib.blake2b(encoded_state, digest_size=16).hexdigest()


def _build_workspace(name: str, model: WorkspaceModel) -> Workspace:
    return Workspace(
        name,
        frozenset(model.credentials_sha256),
        frozenset(model.pipelines),
        frozenset(model.services),
        model.weight,
        model.max_in_flight,
        Policy.compile(model.policy) if model.policy else None,
    )


def _build_pipeline(name: str, model: PipelineModel) -> Pipeline:
    placements = {
        placement.host: LayerRange(placement.first_layer, placement.last_layer)
        for placement in model.placements
    }
    return Pipeline(name, model.model, model.version, model.layer_count, placements)
