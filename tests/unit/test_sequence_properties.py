"""No order of frames makes a stage run a layer twice or mixes two requests.

The sequence tables of three stages are connected by a simulated network that
duplicates, drops, reorders and delays messages, while new attempts are opened,
attempts are cancelled and their owner is lost at any moment.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from railfold._internal.core import AttemptId, Chain, LayerRange, Stage, StageRun
from railfold._internal.decisions.lineage import check_lineage, expected_lineage
from railfold._internal.decisions.sequence_events import (
    CancelReceived,
    ForwardOutput,
    FrameReceived,
    OpenReceived,
    OwnerLost,
    RunCompleted,
    RunFailed,
    SequenceAction,
    SequenceEvent,
    SequenceLimits,
    StartRun,
    StepInput,
)
from railfold._internal.decisions.sequences import (
    SequenceTable,
)

HOSTS = ("a1", "b1", "c1")
CHAIN = Chain(
    tuple(
        Stage(host, "10.0.0.1:7000", 1, LayerRange(4 * i, 4 * i + 3))
        for i, host in enumerate(HOSTS)
    )
)
STEPS = 4

CHOICES = st.lists(
    st.tuples(st.integers(0, 9), st.integers(0, 999)), min_size=20, max_size=120
)


@dataclass
class Network:
    """The tables, the messages in transit between them, and the steps that ran."""

    tables: list[SequenceTable] = field(
        default_factory=lambda: [SequenceTable(h, 1, SequenceLimits()) for h in HOSTS]
    )
    in_transit: list[tuple[int, SequenceEvent]] = field(default_factory=list)
    running_steps: list[tuple[int, StartRun]] = field(default_factory=list)
    started_steps: dict[tuple[int, AttemptId], list[int]] = field(
        default_factory=lambda: defaultdict(list)
    )
    tokens: list[tuple[AttemptId, int, str, tuple[StageRun, ...]]] = field(
        default_factory=list
    )

    def open(self, attempt_id: AttemptId) -> None:
        for index in range(len(HOSTS)):
            first = StepInput(f"{attempt_id}:0") if index == 0 else None
            event = OpenReceived(attempt_id, "entry#1", CHAIN, index, 0, STEPS, first)
            self.in_transit.append((index, event))

    def deliver(self, position: int, *, keep: bool) -> None:
        if not self.in_transit:
            return
        position %= len(self.in_transit)
        index, event = self.in_transit[position]
        if not keep:
            del self.in_transit[position]
        self.apply(index, event)

    def apply(self, index: int, event: SequenceEvent) -> None:
        for action in self.tables[index].apply(event, 0.0):
            self.perform(index, action)

    def perform(self, index: int, action: SequenceAction) -> None:
        match action:
            case StartRun(attempt_id=attempt_id, step=step):
                self.started_steps[index, attempt_id].append(step)
                self.running_steps.append((index, action))
            case ForwardOutput():
                self.forward(index, action)
            case _:
                pass

    def forward(self, index: int, action: ForwardOutput) -> None:
        attempt_id, output = action.attempt_id, action.output
        sender = HOSTS[index]
        if index < len(HOSTS) - 1:
            step_input = StepInput(output.data, output.lineage)
            event = FrameReceived(attempt_id, action.step, sender, 1, step_input)
            self.in_transit.append((index + 1, event))
            return
        self.tokens.append((attempt_id, action.step, str(output.data), output.lineage))
        following = StepInput(f"{attempt_id}:{action.step + 1}")
        event = FrameReceived(attempt_id, action.step + 1, sender, 1, following)
        self.in_transit.append((0, event))

    def end_run(self, position: int, *, fails: bool) -> None:
        if not self.running_steps:
            return
        index, run = self.running_steps.pop(position % len(self.running_steps))
        if fails:
            self.apply(index, RunFailed(run.attempt_id, run.step, "engine"))
        else:
            event = RunCompleted(run.attempt_id, run.step, run.input.data)
            self.apply(index, event)


def simulate(choices: list[tuple[int, int]]) -> Network:
    network = Network()
    attempts = {"r1": 1, "r2": 1}
    for request_id in attempts:
        network.open(AttemptId(request_id, 1))
    for kind, position in choices:
        request_id = ("r1", "r2")[position % 2]
        attempt_id = AttemptId(request_id, attempts[request_id])
        match kind:
            case 0 | 1 | 2:
                network.deliver(position, keep=False)
            case 3:
                network.deliver(position, keep=True)
            case 4 | 5 | 6:
                network.end_run(position, fails=False)
            case 7:
                if network.in_transit:
                    del network.in_transit[position % len(network.in_transit)]
            case 8 if position % 5 == 0:
                network.end_run(position, fails=True)
            case 9 if position % 7 == 0:
                attempts[request_id] += 1
                network.open(AttemptId(request_id, attempts[request_id]))
            case 9 if position % 7 == 1:
                network.apply(position % 3, CancelReceived(attempt_id))
            case 9 if position % 7 == 2:
                network.apply(position % 3, OwnerLost("entry#1"))
            case _:
                pass
    return network


@settings(max_examples=300, deadline=None, derandomize=True)
@given(CHOICES)
def test_each_stage_runs_each_step_once_and_in_order(
    choices: list[tuple[int, int]],
) -> None:
    network = simulate(choices)
    for steps in network.started_steps.values():
        assert steps == list(range(len(steps)))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(CHOICES)
def test_each_token_belongs_to_its_request_and_has_a_complete_lineage(
    choices: list[tuple[int, int]],
) -> None:
    network = simulate(choices)
    for attempt_id, step, data, lineage in network.tokens:
        assert data == f"{attempt_id}:{step}"
        check_lineage(lineage, expected_lineage(CHAIN, attempt_id.attempt, 12))


@settings(max_examples=100, deadline=None, derandomize=True)
@given(CHOICES)
def test_fault_free_network_delivers_every_token(
    choices: list[tuple[int, int]],
) -> None:
    network = Network()
    network.open(AttemptId("r1", 1))
    for kind, position in choices * 10:
        if kind % 2:
            network.deliver(position, keep=False)
        else:
            network.end_run(position, fails=False)
        if len(network.tokens) >= STEPS:
            break
    while len(network.tokens) < STEPS:
        network.deliver(0, keep=False)
        network.end_run(0, fails=False)
    assert [step for _, step, _, _ in network.tokens[:STEPS]] == list(range(STEPS))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(CHOICES)
def test_tombstone_reports_whether_the_attempt_started(
    choices: list[tuple[int, int]],
) -> None:
    network = simulate(choices)
    for index, table in enumerate(network.tables):
        for attempt in range(1, 4):
            attempt_id = AttemptId("r1", attempt)
            [*_, reply] = table.apply(CancelReceived(attempt_id), 0.0)
            assert reply.started == bool(network.started_steps[index, attempt_id])
