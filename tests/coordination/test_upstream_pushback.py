"""Upstreams that push back: they leave, or ask for a pause, in a response.

Patterns: one of several upstreams, half of them, all of them, and upstreams
that ask for a pause without need.
"""

import hypothesis
from hypothesis import strategies as st
import pytest

from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import upstreams
from tests.coordination import helpers

_IDLE = upstreams.LoadReport(in_flight=0, slots=3)


class _Node:
    """A scheduler whose probes and attempts the test answers.

    Attributes:
        sent: ids of the upstreams of all requests, probes included, with their
            times.
        refused: refusals of calls.
    """

    def __init__(self, *, count: int) -> None:
        self.now = 0.0
        self.sent: list[tuple[float, str]] = []
        self.refused: list[calls.Refuse] = []
        self.dispatched: list[calls.Dispatch] = []
        self.scheduler = helpers.make_route_scheduler(
            cross_zone_penalty_s=0.0,
            budget_ratio=1.0,
            budget_extra=1000.0,
            probe_rate_s=60.0,
        )
        listed = helpers.make_upstreams(count)
        self._upstreams = {u.upstream_id: u for u in listed}
        self.handle(calls.UpstreamsChanged(upstreams=listed))

    def handle(self, event: calls.SchedulerEvent) -> None:
        pending = self.scheduler.handle(event=event, now=self.now)
        for action in pending:
            match action:
                case calls.Probe(upstream_id=upstream_id):
                    self.sent.append((self.now, upstream_id))
                    self.handle(
                        calls.ProbeEnded(
                            upstream_id=upstream_id, load=_IDLE, responded=True
                        )
                    )
                case calls.Dispatch(upstream_id=upstream_id):
                    self.sent.append((self.now, upstream_id))
                    self.dispatched.append(action)
                case calls.Refuse():
                    self.refused.append(action)

    def arrive(
        self, call_id: int, *, priority: int = 1, idempotent: bool = True
    ) -> None:
        call = calls.Call(
            call_id=call_id,
            client_account="",
            call_class=calls.CallClass.LOOKUP,
            idempotent=idempotent,
            hedge=idempotent,
            arrived_at=self.now,
            target_at=self.now + 0.6,
            deadline=self.now + 5.0,
            route="r",
            max_attempts=3,
            priority=priority,
        )
        self.handle(calls.CallArrived(call=call))

    def end(
        self, dispatch: calls.Dispatch, result: calls.AttemptResult
    ) -> None:
        self.handle(
            calls.AttemptEnded(
                call_id=dispatch.call_id,
                attempt=dispatch.attempt,
                upstream_id=dispatch.upstream_id,
                result=result,
                load=_IDLE,
            )
        )

    def pause(self, upstream_id: str, pause_s: float) -> None:
        self.handle(
            calls.NoticeReceived(
                upstream=self._upstreams[upstream_id],
                notice=upstreams.Notice(pause_s=pause_s),
            )
        )

    def leave(self, upstream_id: str) -> None:
        self.handle(
            calls.NoticeReceived(
                upstream=self._upstreams[upstream_id],
                notice=upstreams.Notice(leaving=True),
            )
        )

    def sent_since(self, at: float) -> set[str]:
        return {name for sent_at, name in self.sent if sent_at >= at}

    def run_calls(self, count: int, *, first_id: int, step_s: float) -> None:
        """Runs calls that are answered 0.1 s after they arrive."""
        for call_id in range(first_id, first_id + count):
            self.now += step_s
            self.arrive(call_id)
            while self.dispatched:
                dispatch = self.dispatched.pop()
                self.now += 0.1
                self.end(dispatch, calls.Answered(status=200))


def test_one_leaving_upstream_gets_neither_calls_nor_probes() -> None:
    """Guards against requests to an upstream that said it is leaving."""
    node = _Node(count=3)
    node.leave("u0")
    node.run_calls(50, first_id=1, step_s=0.05)
    assert node.sent_since(0.0) == {"u1", "u2"}
    assert node.refused == []


def test_retry_avoids_an_upstream_that_left_meanwhile() -> None:
    """Guards against a retry at an upstream that left during the attempt."""
    node = _Node(count=2)
    node.arrive(1)
    (first,) = node.dispatched
    other = "u1" if first.upstream_id == "u0" else "u0"
    node.now = 0.1
    node.leave(first.upstream_id)
    node.end(first, calls.Shed())
    assert [d.upstream_id for d in node.dispatched[1:]] == [other]


def test_queued_calls_are_refused_when_the_last_upstream_leaves() -> None:
    """Guards against calls that wait until their deadline for nobody."""
    node = _Node(count=1)
    for call_id in range(1, 6):
        node.arrive(call_id)
    queued = 5 - len(node.dispatched)
    assert queued > 0
    node.now = 0.05
    node.leave("u0")
    assert len(node.refused) == queued
    for refusal in node.refused:
        assert refusal.code is errors.ErrorCode.NO_UPSTREAM
        assert refusal.retry_after_s > 0
    node.arrive(9)
    assert node.refused[-1].call_id == 9


def test_leaving_ends_with_the_next_start() -> None:
    """Guards against a restarted upstream that stays out of use."""
    node = _Node(count=1)
    node.leave("u0")
    (listed,) = helpers.make_upstreams(1)
    node.handle(calls.UpstreamsChanged(upstreams=(listed,)))
    node.arrive(1)
    assert node.dispatched == []
    restarted = upstreams.Upstream(
        upstream_id="u0",
        service="s",
        address="127.0.0.1",
        port=1,
        availability_zone="a",
        slots=3,
        started_ms=7,
    )
    node.handle(calls.UpstreamsChanged(upstreams=(restarted,)))
    node.arrive(2)
    assert [d.upstream_id for d in node.dispatched] == ["u0"]


@pytest.mark.parametrize("paused", [1, 3])
def test_paused_upstreams_are_left_alone(paused: int) -> None:
    """Guards against requests, probes included, during a pause.

    The others carry the load: one of six upstreams asks for a pause, then half
    of them do.
    """
    node = _Node(count=6)
    names = {f"u{number}" for number in range(paused)}
    for name in sorted(names):
        node.pause(name, 2.0)
    while node.now < 1.8:
        node.run_calls(1, first_id=len(node.sent) + 1, step_s=0.01)
    assert node.sent_since(0.0).isdisjoint(names)
    assert node.refused == []
    node.now = 2.01
    for call_id in range(1000, 1012):
        node.arrive(call_id)
    assert names & node.sent_since(2.0)


def test_calls_are_refused_at_once_while_all_upstreams_pause() -> None:
    """Guards against calls that wait for a pause longer than their target.

    Each is told a time after the first pause, no two of them the same.
    """
    node = _Node(count=3)
    node.arrive(1)
    node.now = 0.01
    for number, pause_s in enumerate((3.0, 2.0, 4.0)):
        node.pause(f"u{number}", pause_s)
    for call_id in range(2, 12):
        node.arrive(call_id)
    assert len(node.refused) == 10
    delays = [refusal.retry_after_s for refusal in node.refused]
    assert min(delays) >= 2.0
    assert max(delays) < 2.0 * 1.2 + 3.0
    assert len(set(delays)) == 10
    node.arrive(20, priority=0)
    assert node.refused[-1].retry_after_s < 2.0 * 1.2 + 0.01
    assert node.sent_since(0.01) == set()


def test_calls_wait_for_a_short_pause_of_all_upstreams() -> None:
    """Guards against refusals of calls that can still meet their target."""
    node = _Node(count=2)
    for name in ("u0", "u1"):
        node.pause(name, 0.1)
    node.arrive(1)
    assert node.refused == []
    node.now = 0.11
    node.handle(calls.Tick())
    assert len(node.dispatched) == 1


def test_load_returns_to_a_paused_upstream_by_steps() -> None:
    """Guards against a surge that makes the upstream ask for another pause."""
    node = _Node(count=1)
    node.pause("u0", 1.0)
    node.now = 1.05
    for call_id in range(1, 10):
        node.arrive(call_id)
    assert len(node.dispatched) == 1
    node.now = 6.5
    for call_id in range(10, 20):
        node.arrive(call_id)
    assert len(node.dispatched) > 1


def test_upstream_that_lies_about_its_load_only_excludes_itself() -> None:
    """Guards against a service that stops because one upstream lies.

    It asks for the longest pause with every response although it is idle.
    """
    node = _Node(count=3)
    for _ in range(20):
        node.pause("u2", 300.0)
    node.run_calls(50, first_id=1, step_s=0.01)
    assert node.refused == []
    assert "u2" not in node.sent_since(0.0)


@hypothesis.given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["call", "pause", "end"]),
            st.integers(0, 3),
            st.floats(0.001, 0.5),
        ),
        max_size=60,
    )
)
def test_no_request_reaches_an_upstream_during_its_pause(
    steps: list[tuple[str, int, float]],
) -> None:
    """Guards against requests during a pause, in any order of events."""
    node = _Node(count=4)
    paused_until = dict.fromkeys(["u0", "u1", "u2", "u3"], 0.0)
    for call_id, (step, number, step_s) in enumerate(steps, start=1):
        node.now += step_s
        sent_before = len(node.sent)
        if step == "call":
            node.arrive(call_id, idempotent=bool(number % 2))
        elif step == "pause":
            name = f"u{number}"
            paused_until[name] = max(paused_until[name], node.now + 4 * step_s)
            node.pause(name, 4 * step_s)
        elif node.dispatched:
            node.end(node.dispatched.pop(0), calls.Shed())
        for sent_at, name in node.sent[sent_before:]:
            assert sent_at >= paused_until[name]
