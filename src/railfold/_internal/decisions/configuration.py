"""Folding the platform's log into the configuration in force.

The order of the log is the truth. A change names the version of its object
that it was based on; if the object has moved on, the change is a conflict and
has no effect. Every process folds the same records by this function and comes
to the same state, the same version and the same audit trail.
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
    """One operator's change of one object; ``body`` is None to delete it."""

    write_id: str
    operator: str
    kind: str
    name: str
    base_version: int
    body: dict[str, Any] | None


class CheckpointRecord(msgspec.Struct, tag="checkpoint", frozen=True):
    """The whole state as of ``covers_offset``, for readers that come later."""

    write_id: str
    writer: str
    covers_offset: int
    digest: str
    state: dict[str, Any]


ConfigurationRecord = ChangeRecord | CheckpointRecord


class AuditVerdict(Enum):
    """What became of a change."""

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
    """An object's body, its version, and who changed it last."""

    version: int
    operator: str
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace in force."""

    name: str
    credentials_sha256: frozenset[str]
    pipelines: frozenset[str]
    services: frozenset[str]
    weight: float
    max_in_flight: int
    policy: Policy | None


@dataclass(frozen=True, slots=True)
class Pipeline:
    """A pipeline in force."""

    name: str
    model: str
    version: str
    layer_count: int
    placements: dict[str, LayerRange]


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service in force."""

    name: str
    hosts: list[str]


def validate_body(kind: str, name: str, body: dict[str, Any]) -> BaseModel:
    """Return the validated model of a change's body.

    :raises ConfigurationRefusedError: with every fault found.
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
    location = ".".join(str(part) for part in fault["loc"])
    return f"{location}: {fault['msg']}" if location else str(fault["msg"])


@dataclass(slots=True)
class Configuration:
    """The configuration in force, and the fold that moves it on.

    ``version`` is one more than the offset of the last accepted change, so it
    only ever rises. ``next_offset`` is the first offset not yet folded.
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
        """Fold one record; return its audit entry.

        A record that was folded before is ignored and gives None.
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
        """Pass over a record that can't be read."""
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
            winner = stored.operator if stored else "nobody (the object is gone)"
            reason = f"{target} is at version {current}, last changed by {winner}"
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
        """Check a change against this state without making it.

        :raises ConfigurationRefusedError: with every fault found.
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
        # A checkpoint never changes a state that was folded from records; it
        # only serves readers whose records have expired (see `restore`).
        if record.state.get("version") != self.version:
            return None  # Of another state than this one: nothing to compare.
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
            ("its digest differs from this process's own fold",),
        )
        self.audit.append(entry)
        return entry

    def to_state(self) -> dict[str, Any]:
        """Return the state as plain data; the audit trail isn't part of it."""
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
        """Take over a later state, from a checkpoint or from a peer.

        :returns: False, changing nothing, if the state isn't newer.
        :raises ConfigurationRefusedError: an object in it is invalid.
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
    """Return the digest of a canonical state."""
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
