"""Decisions about the memory that callers hold, without a network."""

from hypothesis import given
from hypothesis import strategies as st

from tanagerspoke.coordination.caller_memory import account
from tanagerspoke.coordination.caller_memory import limits

_LIMITS = limits.MemoryLimits(
    total_bytes=1000,
    large_bytes=800,
    ordinary_request_bytes=100,
    stalled_s=2.0,
)


def _held(
    memory: account.CallerMemory, size_bytes: int, now: float
) -> account.Holding:
    holding = account.Holding(owner=None)
    assert memory.resize(holding, size_bytes, now).granted
    return holding


def test_large_requests_leave_a_share_to_ordinary_ones() -> None:
    """Guards against large bodies that leave nothing for ordinary requests."""
    memory = account.CallerMemory(memory_limits=_LIMITS)
    _held(memory, 800, 0.0)
    assert not memory.resize(account.Holding(owner=None), 101, 0.0).granted
    _held(memory, 100, 0.0)


def test_largest_and_longest_stalled_is_closed_first() -> None:
    """Guards against an early close of requests that are about to end."""
    memory = account.CallerMemory(memory_limits=_LIMITS)
    old = _held(memory, 300, 0.0)
    dispatched = _held(memory, 400, 0.0)
    dispatched.is_dispatched = True
    active = _held(memory, 100, 0.0)
    active.record_progress(20_000, 2.5)
    decision = memory.resize(account.Holding(owner=None), 200, 3.0)
    assert decision.closed == (old,)
    assert memory.used_bytes == 700


def test_single_bytes_are_no_progress() -> None:
    """Guards against a body that stays in memory by sending byte by byte."""
    holding = account.Holding(owner=None)
    holding.record_progress(1, 5.0)
    assert holding.progressed_at == 0.0


def test_smallest_machine_holds_the_largest_body() -> None:
    """Guards against a limit that refuses a single request within limits."""
    memory_limits = limits.memory_limits(152_000_000)
    assert memory_limits.large_bytes > 67_108_864 + 3 * 16_384 + 32_768
    assert limits.memory_limits(0) is None


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["resize", "release", "dispatch", "progress"]),
        st.integers(0, 7),
        st.integers(0, 1200),
        st.floats(0, 3),
    ),
    max_size=60,
)


@given(_STEPS)
def test_any_order_of_steps_stays_within_the_limit(steps) -> None:
    """Guards against bytes beyond the limit, and against lost calls.

    Dispatched calls must never be closed, and the count must match.
    """
    memory = account.CallerMemory(memory_limits=_LIMITS)
    holdings = [account.Holding(owner=None) for _ in range(8)]
    now = 0.0
    for step, index, size_bytes, elapsed_s in steps:
        now += elapsed_s
        holding = holdings[index]
        before = holding.size_bytes
        match step:
            case "resize":
                dispatched = {h for h in holdings if h.is_dispatched}
                decision = memory.resize(holding, size_bytes, now)
                assert not dispatched & set(decision.closed)
                assert all(h.size_bytes == 0 for h in decision.closed)
                if decision.granted:
                    assert holding.size_bytes == size_bytes
                else:
                    assert holding.size_bytes == before
                    assert decision.closed == ()
            case "release":
                memory.release(holding)
            case "dispatch":
                holding.is_dispatched = holding.size_bytes > 0
            case "progress":
                holding.record_progress(holding.moved_bytes + 20_000, now)
        assert memory.used_bytes == sum(h.size_bytes for h in holdings)
        assert memory.used_bytes <= _LIMITS.total_bytes
