"""Events that a forwarding entry logs, and their fields.

Each event has one class, so that its name and fields are the same everywhere. Names of
durations and ages end in their unit; ``request_id`` is the id that the client sent.
"""

from __future__ import annotations

import msgspec

__all__ = [
    "AnswerUnmatched",
    "AttemptEnded",
    "AttemptKept",
    "AttemptStarted",
    "ChainProbed",
    "ConfigurationAccepted",
    "ConfigurationBehind",
    "ConfigurationRefused",
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
    "OverloadChanged",
    "PipeShareReduced",
    "ProcessResumed",
    "ProcessStarted",
    "ProcessStopping",
    "QuarantineChanged",
    "RateLimitChanged",
    "ReadinessChanged",
    "RequestEnded",
    "RetriesCounted",
    "ServerBackoffChanged",
    "ServerCrashed",
    "SettingsReloaded",
    "StoreRolledBack",
    "StreamRerouted",
]


class ProcessStarted(msgspec.Struct, frozen=True, tag="process_started"):
    """The process has started to listen."""

    role: str
    version: str
    failure_domain: str


class ProcessStopping(msgspec.Struct, frozen=True, tag="process_stopping"):
    """A stage of a planned stop.

    :param elapsed_ms: time since the stop began.
    :param open_connections: connections of clients, with or without a request.
    """

    reason: str
    in_flight: int
    elapsed_ms: float = 0.0
    open_connections: int = 0


class ProcessResumed(msgspec.Struct, frozen=True, tag="process_resumed"):
    """The host was suspended for a time and has resumed.

    :param leading: whether this process places layers.
    """

    suspended_ms: float
    in_flight: int
    leading: bool


class SettingsReloaded(msgspec.Struct, frozen=True, tag="settings_reloaded"):
    """The settings file was reloaded."""

    outcome: str


class DependencyLost(msgspec.Struct, frozen=True, tag="dependency_lost"):
    """A service that the process depends on stopped answering."""

    dependency: str
    cause: str


class DependencyRecovered(msgspec.Struct, frozen=True, tag="dependency_regained"):
    """A service that the process depends on answers again."""

    dependency: str


class ReadinessChanged(msgspec.Struct, frozen=True, tag="readiness_changed"):
    """The process became ready or unready for new clients without being asked to stop.

    :param proof_age_ms: age of the last proof that its configuration is in force.
    """

    ready: bool
    cause: str
    proof_age_ms: float


class OverloadChanged(msgspec.Struct, frozen=True, tag="overload_changed"):
    """The entry began or stopped to close new connections with their requests unread.

    :param request_cost_ms: the time that the event loop is busy for each request.
    """

    overloaded: bool
    request_cost_ms: float


class StoreRolledBack(msgspec.Struct, frozen=True, tag="store_went_back"):
    """The store was restored from an older copy and lost acknowledged records."""

    epoch: int


class ConfigurationAccepted(msgspec.Struct, frozen=True, tag="configuration_accepted"):
    """A newer configuration is in force in this process."""

    version: int
    previous: int
    routes: int
    credentials: int
    size_bytes: int
    decode_ms: float


class ConfigurationRefused(msgspec.Struct, frozen=True, tag="configuration_refused"):
    """A configuration that can't be used was read.

    :param in_force: the version that stays in force in this process; 0 if none.
    """

    in_force: int
    size_bytes: int
    cause: str


class ConfigurationBehind(msgspec.Struct, frozen=True, tag="configuration_behind"):
    """Another process has had a newer configuration for some time.

    :param newest: the newest version that another process has reported.
    :param proof_age_ms: age of the last proof that ``version`` is in force; None if it
        is too old to rely on.
    """

    version: int
    newest: int
    behind_ms: int
    proof_age_ms: int | None
    cause: str


class LoadCoverageChanged(msgspec.Struct, frozen=True, tag="load_news_changed"):
    """The load of most other entries became known, or is no longer known.

    :param state: known or lost.
    :param known: the number of entries whose load is known.
    :param entries: the number of all entries.
    :param age_ms: age of the oldest load that counts as known.
    """

    state: str
    known: int
    entries: int
    age_ms: float


class EngineChanged(msgspec.Struct, frozen=True, tag="engine_changed"):
    """The state of a backend server, as this process sees it, changed."""

    server_id: str
    state: str
    cause: str
    layers: str = ""


class LeadershipChanged(msgspec.Struct, frozen=True, tag="leadership_changed"):
    """The process acquired or gave up leadership of the placement of layers.

    :param fencing: the fencing token of its lease.
    """

    leading: bool
    fencing: int
    cause: str


class LayersPlanned(msgspec.Struct, frozen=True, tag="layers_planned"):
    """A plan moves layers between the engines of a failure domain.

    :param served_rps: estimated capacity of the domain, in requests a second, with the
        present placement.
    :param planned_rps: estimated capacity after the changes.
    :param needed_rps: the rate of requests that the domain needs to serve.
    :param told_by: the number of other entries that reported their arrivals.
    :param chains: the chains that serve requests after the changes.
    :param changes: the layers that each engine has to load, by engine.
    """

    failure_domain: str
    served_rps: float
    planned_rps: float
    needed_rps: float
    told_by: int
    chains: list[str]
    changes: dict[str, str]


class LayersOrdered(msgspec.Struct, frozen=True, tag="layers_ordered"):
    """An engine was ordered to load layers.

    :param layers: the layers of the order.
    :param held: the layers that the engine has when it is ordered.
    :param fencing: the fencing token of the order.
    """

    server_id: str
    layers: str
    held: str
    fencing: int
    outcome: str


class AttemptStarted(msgspec.Struct, frozen=True, tag="attempt_started"):
    """A request was sent to a backend server.

    :param resume_after: id of the event after which the stream resumes, if any.
    :param crossings: how often the chain crosses from one failure domain to another.
    :param room_share: free share of the memory of the fullest engine in the chain.
    :param known_share: the share of entries whose load ``room_share`` includes.
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
    """A first event over a pipe came late, so the entry uses less of its quota.

    A pipe is the network link between two failure domains.

    :param share: the share of its quota that the entry uses from now on.
    :param late_ms: how much later than predicted the first event came.
    """

    one_domain: str
    other_domain: str
    share: float
    late_ms: float


class AttemptEnded(msgspec.Struct, frozen=True, tag="attempt_ended"):
    """An attempt ended without a complete answer.

    :param silent_ms: time since the last event of the attempt.
    :param suspected: whether its backend servers were only suspected when another
        attempt continued the answer; otherwise its failure is certain.
    """

    request_id: str
    attempt: int
    server_id: str
    cause: str
    events: int
    silent_ms: float
    suspected: bool = False


class AnswerUnmatched(msgspec.Struct, frozen=True, tag="answer_unmatched"):
    """A backend server sent what belongs to no request in progress.

    :param kind: ``skipped`` for an answer in the place of the expected one, ``surplus``
        for bytes behind a complete answer or on an idle connection.
    :param request_id: the request whose answer was expected, or the last one on the
        connection; empty if that was a call of the entry.
    :param named_id: the request that a skipped answer names, if it names one.
    :param status: status of a skipped answer.
    """

    server_id: str
    kind: str
    request_id: str
    named_id: str = ""
    status: int = 0


class AttemptKept(msgspec.Struct, frozen=True, tag="attempt_kept"):
    """An attempt stays in progress at suspected backend servers.

    Another destination is sought; the first attempt that responds continues the answer.
    """

    request_id: str
    attempt: int
    server_id: str
    cause: str
    events: int
    silent_ms: float


class ChainProbed(msgspec.Struct, frozen=True, tag="chain_probed"):
    """The backend servers of a silent chain were probed.

    :param took_ms: duration of the probe; if it exceeds the timeout, this process
        itself was delayed.
    :param asked: the number of servers that were probed.
    :param answered: the number of servers that answered as healthy.
    :param unlisted: servers that aren't registered.
    :param lost: servers that are considered lost.
    """

    request_id: str
    silent_ms: float
    took_ms: float
    asked: int
    answered: int
    unlisted: list[str]
    lost: list[str]


class ChainStalled(msgspec.Struct, frozen=True, tag="chain_stalled"):
    """All streams over a chain are silent while those over other chains aren't.

    :param server_id: first backend server of the chain.
    :param suspects: its backend servers that no active stream runs through.
    :param silent_ms: how long the stream that detected it has been silent.
    """

    server_id: str
    suspects: list[str]
    silent_ms: float


class StreamRerouted(msgspec.Struct, frozen=True, tag="stream_rerouted"):
    """A backend server was asked to continue a stream over another chain."""

    request_id: str
    chain: str
    outcome: str


class ServerCrashed(msgspec.Struct, frozen=True, tag="server_crashed"):
    """A backend server crashed shortly after requests started there.

    :param begun: how many requests of this entry had just started.
    :param contents: digests of the contents of these requests.
    :param prompt_parts: digests of the most suspicious parts of their prompts.
    :param known_after_ms: time from the end of their connections until the crash was
        certain.
    """

    server_id: str
    begun: int
    contents: list[str]
    known_after_ms: float
    prompt_parts: list[str] = []


class QuarantineChanged(msgspec.Struct, frozen=True, tag="quarantine_changed"):
    """The quarantine state of requests with one content or prompt part changed.

    :param content: the digest of path, caller and body, or of the prompt part.
    :param state: suspected, held back, on trial, cleared or lifted.
    :param servers: the backend servers that crashed while they ran these requests.
    :param newest_ms: time since the last of these crashes.
    :param source: whether this entry or another one observed the cause.
    :param retry_in_ms: time until one of the requests may be tried again.
    :param prompt_part: whether the digest is that of a prompt part.
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
    prompt_part: bool = False


class RateLimitChanged(msgspec.Struct, frozen=True, tag="rate_limit_changed"):
    """The known rate limit that a backend server advertises for all entries changed.

    :param state: named, ended, lapsed or unreadable.
    :param per_s: requests a second that the server accepts; None without a limit.
    :param source: whether the server itself or another entry reported the limit.
    :param entries: the number of entries that this entry knows of.
    :param own_per_s: the rate of permits that this entry may issue.
    """

    server_id: str
    state: str
    cause: str
    per_s: float | None
    source: str
    entries: int
    own_per_s: float


class ServerBackoffChanged(msgspec.Struct, frozen=True, tag="server_backoff_changed"):
    """A backoff that a backend server asked this entry for started or ended.

    :param state: started, ended, or recovered after the server served a request again.
    :param source: the answer that asked for the backoff, or the clock.
    :param backoff_s: the requested duration; at the end of the backoff, the actual one.
    :param requests: the number of answers that asked for the backoff.
    :param sends: the number of requests that this entry sent during the backoff.
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

    :param priority: rank of the request; 0 is served first.
    :param waited_ms: how long the request waited for capacity of engines.
    :param predicted_wait_ms: the wait that was predicted when it started.
    :param left_ms: time left until its deadline.
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
    left_ms: float = 0.0


class RetriesCounted(msgspec.Struct, frozen=True, tag="retries_counted"):
    """Retries to one service since the last such line, at most a second ago.

    :param refused: retries that the budget didn't allow.
    :param slack: retries beyond a share of the first attempts that this entry may make
        in each window.
    """

    service: str
    first_attempts: int
    retries: int
    refused: int
    slack: float


class LinesDropped(msgspec.Struct, frozen=True, tag="lines_dropped"):
    """Lines were left out of the log.

    :param dropped: lines that didn't fit into the buffer.
    :param routine_skipped: lines over the limit for successful requests.
    """

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
    | OverloadChanged
    | StoreRolledBack
    | ConfigurationAccepted
    | ConfigurationBehind
    | ConfigurationRefused
    | EngineChanged
    | LoadCoverageChanged
    | LeadershipChanged
    | LayersOrdered
    | LayersPlanned
    | AttemptStarted
    | PipeShareReduced
    | AttemptEnded
    | AnswerUnmatched
    | AttemptKept
    | ChainStalled
    | ChainProbed
    | StreamRerouted
    | ServerCrashed
    | QuarantineChanged
    | RateLimitChanged
    | ServerBackoffChanged
    | RequestEnded
    | RetriesCounted
    | LinesDropped
)


class LogLine(msgspec.Struct, frozen=True):
    """One line of a log.

    :param time_s: Unix time by the clock of the host, which may differ from the clocks
        of other hosts.
    """

    time_s: float
    host: str
    event: Event
