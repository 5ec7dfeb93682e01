"""A workspace that sends much or reads slowly can't use up an entry's memory."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from railfold._internal.decisions.memory_quota import MemoryQuota, MemoryReservation

LIMIT_BYTES = 1000


def fill(quota: MemoryQuota, workspace: str, step_bytes: int = 10) -> MemoryReservation:
    """Reserve as much for a workspace as its quota allows."""
    reservation = MemoryReservation(quota, workspace)
    while reservation.try_reserve(step_bytes):
        pass
    return reservation


def test_single_workspace_gets_at_most_half_of_the_memory() -> None:
    assert fill(MemoryQuota(LIMIT_BYTES), "flood").size_bytes == LIMIT_BYTES / 2


def test_small_workspace_gets_memory_while_others_use_all_they_can() -> None:
    quota = MemoryQuota(LIMIT_BYTES)
    for number in range(4):
        fill(quota, f"flood-{number}")
    assert MemoryReservation(quota, "quiet").try_reserve(30)


def test_share_of_a_workspace_shrinks_as_others_need_memory() -> None:
    quota = MemoryQuota(LIMIT_BYTES)
    first = fill(quota, "first")
    fill(quota, "second")
    first.release_bytes(300)
    # After the release it is below its share again and may reserve a little more.
    assert first.try_reserve(10)
    assert first.size_bytes <= LIMIT_BYTES / 2


def test_released_memory_isnt_released_twice() -> None:
    quota = MemoryQuota(LIMIT_BYTES)
    reservation = MemoryReservation(quota, "quality")
    reservation.try_reserve(100)
    reservation.release()
    reservation.release_bytes(50)
    reservation.release()
    assert (quota.total_bytes, quota.reserved_bytes("quality")) == (0, 0)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "c"]),
            st.sampled_from(["take", "anyway", "back", "release"]),
            st.integers(min_value=0, max_value=400),
        )
    )
)
def test_reservations_never_exceed_the_limit_and_are_all_released(
    steps: list[tuple[str, str, int]],
) -> None:
    quota = MemoryQuota(LIMIT_BYTES)
    reservations = {name: MemoryReservation(quota, name) for name in ("a", "b", "c")}
    for name, action, size_bytes in steps:
        reservation, before = reservations[name], quota.total_bytes
        match action:
            case "take":
                if reservation.try_reserve(size_bytes):
                    assert quota.total_bytes <= LIMIT_BYTES
                else:
                    assert quota.total_bytes == before
            case "anyway":
                reservation.reserve_unchecked(size_bytes)
            case "back":
                reservation.release_bytes(size_bytes)
            case "release":
                reservation.release()
        assert quota.total_bytes == sum(r.size_bytes for r in reservations.values())
    for reservation in reservations.values():
        reservation.release()
    assert quota.total_bytes == 0
