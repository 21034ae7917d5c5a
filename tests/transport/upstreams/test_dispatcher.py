"""Actions of a turn that raise, and the calls of the other actions."""

from typing import Any

from tanagerspoke import exceptions
from tanagerspoke.protocol import calls
from tanagerspoke.protocol import errors
from tanagerspoke.protocol import upstreams
from tanagerspoke.transport.upstreams import dispatcher
from tanagerspoke.transport.upstreams import upstream_dialect


class _Scheduler:
    """Returns the actions that a test prepared for a tick."""

    def __init__(self) -> None:
        self.next_wakeup = None
        self.events: list[calls.SchedulerEvent] = []
        self.actions: list[calls.SchedulerAction] = []

    def handle(self, *, event: calls.SchedulerEvent, now: float) -> list[Any]:
        self.events.append(event)
        return self.actions if isinstance(event, calls.Tick) else []


class _FailingClient:
    def send(self, **arguments: Any) -> None:
        raise RuntimeError("a fault of the client")


def _start(
    service_dispatcher: dispatcher.ServiceDispatcher,
    call_id: int,
    results: dict[int, Exception | None],
) -> None:
    def on_done(response: Any, exc: Exception | None) -> None:
        results[call_id] = exc
        if call_id == 1:
            raise RuntimeError("a fault of the callback")

    service_dispatcher.start(
        call=calls.Call(
            call_id=call_id,
            client_account="",
            call_class=calls.CallClass.LOOKUP,
            idempotent=True,
            arrived_at=0.0,
            deadline=10.0,
        ),
        request=upstream_dialect.UpstreamRequest(
            request_id="",
            client_account="",
            method="GET",
            path="/",
            headers=(),
            body=b"",
        ),
        on_done=on_done,
    )


async def test_error_of_an_action_leaves_the_other_actions() -> None:
    """Guards against one call's error that leaves others without an answer.

    The first action's callback and the second action's request raise; the
    third call must still get its refusal, and the scheduler must learn that
    the second attempt has ended.
    """
    scheduler = _Scheduler()
    service_dispatcher = dispatcher.ServiceDispatcher(
        scheduler=scheduler,
        client=_FailingClient(),
        clock=lambda: 0.0,
        on_draining=lambda upstream: None,
    )
    service_dispatcher.set_upstreams(
        (
            upstreams.Upstream(
                upstream_id="u",
                service="s",
                address="127.0.0.1",
                port=1,
                availability_zone="a",
                slots=1,
            ),
        )
    )
    results: dict[int, Exception | None] = {}
    for call_id in (1, 2, 3):
        _start(service_dispatcher, call_id, results)
    code = errors.ErrorCode.QUEUE_FULL
    scheduler.actions = [
        calls.Refuse(call_id=1, code=code),
        calls.Dispatch(call_id=2, attempt=1, upstream_id="u"),
        calls.Refuse(call_id=3, code=code),
    ]
    service_dispatcher.handle(calls.Tick())
    assert isinstance(results[2], RuntimeError)
    assert isinstance(results[3], exceptions.CallRefusedError)
    ended = [e for e in scheduler.events if isinstance(e, calls.AttemptEnded)]
    assert [(e.call_id, e.result) for e in ended] == [(2, calls.Cancelled())]
    assert service_dispatcher.in_flight == 0
