"""Simulated faults of the stand-ins, set by `PUT /control/faults`."""

from typing import Annotated

import msgspec

from tanagerspoke.standins import table

_Count = Annotated[int, msgspec.Meta(ge=0)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=600_000)]
_StaleSeconds = Annotated[float, msgspec.Meta(ge=0, le=table.MAX_STALE_S)]
_LagSeconds = Annotated[float, msgspec.Meta(ge=0, le=86_400)]
_Factor = Annotated[float, msgspec.Meta(gt=0, le=10_000)]


class PlatformFaults(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Faults of the platform.

    Attributes:
        table_down, objects_down, hosts_down: requests to the table, the object
            store or the host list get 503.
        table_delay_ms: delay of each table request; a transaction takes effect
            after it even if the client closes the connection in the meantime.
        lose_table_answers: a transaction takes effect, then the connection
            closes without a response.
        stale_reads_s: table reads return the state of that many seconds ago.
        hosts_lag_s: lag of the host list; overrides the setting.
    """

    table_down: bool = False
    objects_down: bool = False
    hosts_down: bool = False
    table_delay_ms: _Milliseconds = 0.0
    lose_table_answers: bool = False
    stale_reads_s: _StaleSeconds = 0.0
    hosts_lag_s: _LagSeconds | None = None


class StoreFaults(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Faults of the metadata store.

    Attributes:
        down: every call gets 503 after `delay_ms`.
        silent: calls are read and never get a response.
        resets: connections are reset as soon as a call is read.
        delay_ms: delay of each call before it takes effect.
        lose_answers: a transaction takes effect, then the connection closes
            without a response.
        late_writes_ms: a transaction gets no response and takes effect that
            much later.
    """

    down: bool = False
    silent: bool = False
    resets: bool = False
    delay_ms: _Milliseconds = 0.0
    lose_answers: bool = False
    late_writes_ms: _Milliseconds = 0.0


class UpstreamFaults(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Faults of an upstream.

    Attributes:
        slow_factor: factor on the service time.
        fail_fast: responds with 500 immediately, without running the call.
        shed: responds with 503 and the outcome "not-run".
        draining: reports the phase "draining" but keeps serving.
        freeze: accepts calls and responds to none until the fault is cleared.
        late_ms: delay before a response is sent; the delay of a pull comes
            before its work.
        break_after_bytes: closes the connection after that many bytes of
            the body; bodies that are not longer are sent completely.
        chunked: sends no Content-Length.
        cross_replies: echoes the id of the request that ended last.
        duplicate_replies: sends each response twice.
        reported_in_flight: reported number of calls in flight; overrides the
            actual one.
        report_ready: `GET /load` always reports the phase "ready", while other
            responses report the actual one.
    """

    slow_factor: _Factor = 1.0
    fail_fast: bool = False
    shed: bool = False
    draining: bool = False
    freeze: bool = False
    late_ms: _Milliseconds = 0.0
    break_after_bytes: _Count | None = None
    chunked: bool = False
    cross_replies: bool = False
    duplicate_replies: bool = False
    reported_in_flight: _Count | None = None
    report_ready: bool = False
