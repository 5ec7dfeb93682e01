"""How an entry's memory is divided between workspaces that send or leave much."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from railfold._internal.decisions.held_memory import HeldMemory, Holding

LIMIT_BYTES = 1000


def fill(memory: HeldMemory, workspace: str, step_bytes: int = 10) -> Holding:
    """Hold as much for a workspace as it may."""
    holding = Holding(memory, workspace)
    while holding.take(step_bytes):
        pass
    return holding


def test_one_workspace_alone_leaves_half_of_the_memory() -> None:
    assert fill(HeldMemory(LIMIT_BYTES), "flood").size_bytes == LIMIT_BYTES / 2


def test_a_quiet_workspace_finds_room_beside_floods_of_others() -> None:
    memory = HeldMemory(LIMIT_BYTES)
    for number in range(4):
        fill(memory, f"flood-{number}")
    assert Holding(memory, "quiet").take(30)


def test_what_others_hold_shrinks_as_more_want_some() -> None:
    memory = HeldMemory(LIMIT_BYTES)
    first = fill(memory, "first")
    fill(memory, "second")
    first.give_back(300)
    # It is over a third of the memory, and gets no more before the others do.
    assert first.take(10)
    assert first.size_bytes <= LIMIT_BYTES / 2


def test_nothing_is_given_back_twice() -> None:
    memory = HeldMemory(LIMIT_BYTES)
    holding = Holding(memory, "quality")
    holding.take(100)
    holding.release()
    holding.give_back(50)
    holding.release()
    assert (memory.total_bytes, memory.of("quality")) == (0, 0)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "c"]),
            st.sampled_from(["take", "anyway", "back", "release"]),
            st.integers(min_value=0, max_value=400),
        )
    )
)
def test_what_is_taken_never_exceeds_the_limit_and_all_comes_back(
    steps: list[tuple[str, str, int]],
) -> None:
    memory = HeldMemory(LIMIT_BYTES)
    holdings = {name: Holding(memory, name) for name in ("a", "b", "c")}
    for name, action, size_bytes in steps:
        holding, before = holdings[name], memory.total_bytes
        match action:
            case "take":
                if holding.take(size_bytes):
                    assert memory.total_bytes <= LIMIT_BYTES
                else:
                    assert memory.total_bytes == before
            case "anyway":
                holding.take_anyway(size_bytes)
            case "back":
                holding.give_back(size_bytes)
            case "release":
                holding.release()
        assert memory.total_bytes == sum(h.size_bytes for h in holdings.values())
    for holding in holdings.values():
        holding.release()
    assert memory.total_bytes == 0
