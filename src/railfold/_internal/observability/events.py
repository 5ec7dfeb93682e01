"""Events that a forwarding entry logs, and their fields.

One class an event, so that names and fields are the same everywhere. Durations
and ages carry their unit; ``request_id`` is the id that the client sent.
"""

from __future__ import annotations

import msgspec

__all__ = [
    "AttemptEnded",
    "AttemptKept",
    "AttemptStarted",
    "ChainProbed",
    "ConfigurationAccepted",
    "ConfigurationBehind",
    "DependencyLost",
    "DependencyRecovered",
    "EngineChanged",
    "Event",
    "LayersOrdered",
    "LayersPlanned",
    "LeadershipChanged",
    "LinesDropped",
    "LoadCoverageChanged",
    "LogLine",
    "PipeShareReduced",
    "ProcessResumed",
    "ProcessStarted",
    "ProcessStopping",
    "QuarantineChanged",
    "RateLimitChanged",
    "ReadinessChanged",
    "RequestEnded",
    "ServerBackoffChanged",
    "ServerCrashed",
    "SettingsReloaded",
    "StoreRolledBack",
    "StreamRerouted",
]


class ProcessStarted(msgspec.Struct, frozen=True, tag="process_started"):
    """The process listens."""

    role: str
    version: str
    failure_domain: str


class ProcessStopping(msgspec.Struct, frozen=True, tag="process_stopping"):
    """The process was told to stop, or goes."""

    reason: str
    in_flight: int


class ProcessResumed(msgspec.Struct, frozen=True, tag="process_resumed"):
    """The host was suspended, and goes on."""

    suspended_ms: float
    in_flight: int
    leading: bool


class SettingsReloaded(msgspec.Struct, frozen=True, tag="settings_reloaded"):
    """The settings file was read again."""

    outcome: str


class DependencyLost(msgspec.Struct, frozen=True, tag="dependency_lost"):
    """A service that the process depends on stopped answering."""

    dependency: str
    cause: str


class DependencyRecovered(msgspec.Struct, frozen=True, tag="dependency_regained"):
    """It answers again."""

    dependency: str


class ReadinessChanged(msgspec.Struct, frozen=True, tag="readiness_changed"):
    """It begins or ceases to ask for new clients while it isn't told to stop.

    :param proof_age_ms: how old the last proof is that its configuration is in force.
    """

    ready: bool
    cause: str
    proof_age_ms: float


class StoreRolledBack(msgspec.Struct, frozen=True, tag="store_went_back"):
    """It came back from an older copy, and lost what it had acknowledged since."""

    epoch: int


class ConfigurationAccepted(msgspec.Struct, frozen=True, tag="configuration_accepted"):
    """A newer configuration is in force in this process."""

    version: int
    previous: int
    routes: int
    credentials: int
    size_bytes: int
    decode_ms: float


class ConfigurationBehind(msgspec.Struct, frozen=True, tag="configuration_behind"):
    """Another process has had a newer configuration for some time.

    :param proof_age_ms: since it was last proved that ``version`` is in force; nothing
        once that is too long ago to rely on.
    """

    version: int
    newest: int
    behind_ms: int
    proof_age_ms: int | None
    cause: str


class LoadCoverageChanged(msgspec.Struct, frozen=True, tag="load_news_changed"):
    """The load of most other entries became known, or isn't known any more.

    ``known`` of ``entries`` parts count, the oldest of which is ``age_ms`` old.
    """

    state: str
    known: int
    entries: int
    age_ms: float


class EngineChanged(msgspec.Struct, frozen=True, tag="engine_changed"):
    """What the process believes of a backend server changed."""

    server_id: str
    state: str
    cause: str
    layers: str = ""


class LeadershipChanged(msgspec.Struct, frozen=True, tag="leadership_changed"):
    """The process took over, or gave up, the placement of layers."""

    leading: bool
    fencing: int
    cause: str


class LayersPlanned(msgspec.Struct, frozen=True, tag="layers_planned"):
    """Layers of a failure domain are to move.

    :param served_rps: requests a second that it is reckoned to serve as it stands.
    :param planned_rps: the same once the changes are carried out.
    :param needed_rps: how many are wanted of it.
    :param told_by: how many other entries told what arrives there.
    :param chains: what it then serves, by chain.
    :param changes: the layers that each engine is to hold.
    """

    failure_domain: str
    served_rps: float
    planned_rps: float
    needed_rps: float
    told_by: int
    chains: list[str]
    changes: dict[str, str]


class LayersOrdered(msgspec.Struct, frozen=True, tag="layers_ordered"):
    """An engine was ordered to hold layers."""

    server_id: str
    layers: str
    held: str
    fencing: int
    outcome: str


class AttemptStarted(msgspec.Struct, frozen=True, tag="attempt_started"):
    """A request was sent to a backend server.

    :param crossings: how often its chain goes from one failure domain to another.
    :param room_share: memory that was left at the fullest engine of its chain, as a
        share of it, by the load of ``known_share`` of the entries.
    """

    request_id: str
    attempt: int
    server_id: str
    chain: str
    configuration_version: int
    configuration_age_ms: float
    left_ms: float
    resume_after: int | None
    crossings: int = 0
    predicted_first_event_ms: float = 0.0
    predicted_pause_ms: float = 0.0
    room_share: float = 0.0
    known_share: float = 0.0
    load_age_ms: float = 0.0


class PipeShareReduced(msgspec.Struct, frozen=True, tag="pipe_share_cut"):
    """A first event over two failure domains came late: fewer requests cross.

    :param share: of the entry's part of the pipe that it uses from now on.
    """

    one_domain: str
    other_domain: str
    share: float
    late_ms: float


class AttemptEnded(msgspec.Struct, frozen=True, tag="attempt_ended"):
    """An attempt ended without the answer that was wanted."""

    request_id: str
    attempt: int
    server_id: str
    cause: str
    events: int
    silent_ms: float


class AttemptKept(msgspec.Struct, frozen=True, tag="attempt_kept"):
    """Its engine is given up, but nothing else can finish the answer now."""

    request_id: str
    attempt: int
    server_id: str
    cause: str
    events: int
    silent_ms: float


class ChainProbed(msgspec.Struct, frozen=True, tag="chain_probed"):
    """The backend servers of a silent chain were asked whether they live.

    ``took_ms`` beyond the time-out tells that this process itself was held up.
    """

    request_id: str
    silent_ms: float
    took_ms: float
    asked: int
    answered: int
    unlisted: list[str]
    lost: list[str]


class StreamRerouted(msgspec.Struct, frozen=True, tag="stream_rerouted"):
    """A running stream was ordered to go on over another chain."""

    request_id: str
    chain: str
    outcome: str


class ServerCrashed(msgspec.Struct, frozen=True, tag="server_crashed"):
    """A backend server ended while requests had just begun there.

    :param begun: how many of this entry's had.
    :param contents: digests of theirs.
    :param known_after_ms: from the end of their connections until it was sure.
    """

    server_id: str
    begun: int
    contents: list[str]
    known_after_ms: float


class QuarantineChanged(msgspec.Struct, frozen=True, tag="quarantine_changed"):
    """What is believed of requests with the same path, caller and body changed.

    :param content: the digest of the three.
    :param state: suspected, held back, on trial, cleared or lifted.
    :param servers: the backend servers that ended under them.
    :param newest_ms: how long ago the last of those ended.
    :param source: whether this entry saw what changed it, or another.
    :param retry_in_ms: when one of them may be tried again.
    """

    content: str
    state: str
    cause: str
    route: str
    workspace: str
    servers: list[str]
    newest_ms: float
    source: str
    retry_in_ms: float


class RateLimitChanged(msgspec.Struct, frozen=True, tag="rate_limit_changed"):
    """What is known of the rate that a backend server takes from all entries changed.

    :param state: named, ended, lapsed or unreadable.
    :param per_s: requests a second that it takes; nothing if it names no limit.
    :param source: whether this entry heard it from the server, or from another entry.
    :param entries: how many entries there are, as far as this one knows.
    :param own_per_s: what this entry may hand out of it to itself and others.
    """

    server_id: str
    state: str
    cause: str
    per_s: float | None
    source: str
    entries: int
    own_per_s: float


class ServerBackoffChanged(msgspec.Struct, frozen=True, tag="server_backoff_changed"):
    """A backend server asked this entry to send nothing for a time, or what followed.

    :param state: started, ended, or recovered once it has served a request since.
    :param source: what the server answered, or the clock.
    :param backoff_s: how long it asked for; at its end, how long it lasted.
    :param requests: answers that asked for it.
    :param sends: requests that this entry sent there meanwhile.
    """

    server_id: str
    state: str
    cause: str
    source: str
    backoff_s: float
    requests: int
    sends: int


class RequestEnded(msgspec.Struct, frozen=True, tag="request_ended"):
    """A request got its final answer.

    :param priority: its rank, 0 first.
    :param waited_ms: for how long it waited for room at engines.
    :param predicted_wait_ms: what was reckoned when it began to wait.
    """

    request_id: str
    outcome: str
    status: int
    cause: str
    route: str
    workspace: str
    attempts: int
    duration_ms: float
    first_event_ms: float
    longest_pause_ms: float
    events: int
    configuration_version: int
    retry_after_ms: float
    priority: int | None = None
    waited_ms: float = 0.0
    predicted_wait_ms: float = 0.0


class LinesDropped(msgspec.Struct, frozen=True, tag="lines_dropped"):
    """Lines that were left out: the buffer was full, or they were routine."""

    dropped: int
    routine_skipped: int


Event = (
    ProcessStarted
    | ProcessStopping
    | ProcessResumed
    | SettingsReloaded
    | DependencyLost
    | DependencyRecovered
    | ReadinessChanged
    | StoreRolledBack
    | ConfigurationAccepted
    | ConfigurationBehind
    | EngineChanged
    | LoadCoverageChanged
    | LeadershipChanged
    | LayersOrdered
    | LayersPlanned
    | AttemptStarted
    | PipeShareReduced
    | AttemptEnded
    | AttemptKept
    | ChainProbed
    | StreamRerouted
    | ServerCrashed
    | QuarantineChanged
    | RateLimitChanged
    | ServerBackoffChanged
    | RequestEnded
    | LinesDropped
)


class LogLine(msgspec.Struct, frozen=True):
    """One line of a log: when, on which host, and what.

    ``time_s`` is the host's own time of day, which may differ from others'.
    """

    time_s: float
    host: str
    event: Event
