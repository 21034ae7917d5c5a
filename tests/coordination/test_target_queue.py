"""Order of the calls that wait for an upstream."""

from hypothesis import given
from hypothesis import strategies as st

from tanagerspoke.coordination import target_queue
from tanagerspoke.protocol import calls


def _waiting(
    call_id: int, *, arrived_at: float, in_time_until: float, priority: int = 0
) -> target_queue.Waiting:
    return target_queue.Waiting(
        call=calls.Call(
            call_id=call_id,
            client_account="",
            call_class=calls.CallClass.LOOKUP,
            idempotent=True,
            arrived_at=arrived_at,
            deadline=arrived_at + 9.0,
            priority=priority,
        ),
        in_time_until=in_time_until,
        expires_at=arrived_at + 5.0,
    )


@given(
    st.lists(
        st.tuples(st.floats(0.0, 9.0), st.floats(0.0, 9.0), st.integers(0, 2)),
        max_size=12,
    )
)
def test_order(calls_in: list[tuple[float, float, int]]) -> None:
    """Guards against late or less urgent calls that go first."""
    queue = target_queue.TargetQueue()
    for number, (arrived_at, until, priority) in enumerate(calls_in):
        queue.push(
            _waiting(
                number,
                arrived_at=arrived_at,
                in_time_until=until,
                priority=priority,
            )
        )
    now = 5.0
    order = queue.order(now)
    for first, second in zip(order, order[1:], strict=False):
        late = (first.in_time_until < now, second.in_time_until < now)
        assert late != (True, False)
        if late[0] != late[1]:
            continue
        ranks = (first.call.priority, second.call.priority)
        assert ranks[0] <= ranks[1]
        if ranks[0] == ranks[1] and late[0]:
            assert first.call.arrived_at <= second.call.arrived_at
        elif ranks[0] == ranks[1]:
            assert first.call.arrived_at >= second.call.arrived_at


def test_expired_calls_leave_the_queue() -> None:
    """Guards against calls that are held past their last start."""
    queue = target_queue.TargetQueue()
    queue.push(_waiting(1, arrived_at=0.0, in_time_until=1.0))
    queue.push(_waiting(2, arrived_at=1.0, in_time_until=2.0))
    assert queue.next_expiry == 5.0
    assert [w.call.call_id for w in queue.expired(5.5)] == [1]
    assert queue.call_ids == [2]
