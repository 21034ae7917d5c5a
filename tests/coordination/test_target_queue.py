"""Tests of the order in which queued calls are sent."""

from hypothesis import given
from hypothesis import strategies as st

from tanagerspoke.coordination import target_queue
from tests.coordination import helpers


@given(
    st.lists(
        st.tuples(st.floats(0.0, 9.0), st.floats(0.0, 9.0), st.integers(0, 2)),
        max_size=12,
    )
)
def test_order_by_lateness_priority_and_age(
    arrivals: list[tuple[float, float, int]],
) -> None:
    """Guards against late or less urgent calls that are sent first."""
    queue = target_queue.TargetQueue()
    for number, (arrived_at, latest_start_at, priority) in enumerate(arrivals):
        queue.push(
            helpers.make_queued_call(
                number,
                arrived_at=arrived_at,
                latest_start_at=latest_start_at,
                priority=priority,
            )
        )
    now = 5.0
    order = queue.order(now)
    for first, second in zip(order, order[1:], strict=False):
        late = (
            first.latest_start_at < now,
            second.latest_start_at < now,
        )
        assert late != (True, False)
        if late[0] != late[1]:
            continue
        priorities = (first.call.priority, second.call.priority)
        assert priorities[0] <= priorities[1]
        if priorities[0] == priorities[1] and late[0]:
            assert first.call.arrived_at <= second.call.arrived_at
        elif priorities[0] == priorities[1]:
            assert first.call.arrived_at >= second.call.arrived_at


def test_expired_calls_leave_the_queue() -> None:
    """Guards against calls that stay queued after their expiry."""
    queue = target_queue.TargetQueue()
    queue.push(helpers.make_queued_call(1, arrived_at=0.0, latest_start_at=1.0))
    queue.push(helpers.make_queued_call(2, arrived_at=1.0, latest_start_at=2.0))
    assert queue.next_expiry == 5.0
    assert [c.call.call_id for c in queue.pop_expired(5.5)] == [1]
    assert queue.call_ids == [2]
