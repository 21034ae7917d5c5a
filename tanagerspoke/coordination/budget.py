"""Control budget of one host: bytes, processor time and memory.

Everything that control sends asks the budget first and is deferred where it
is spent. Demand never raises the budget.
"""

import dataclasses
import enum

# Bytes of one gRPC message beyond its body: TCP/IP headers of the segment
# and its acknowledgement (80), HTTP/2 frames with indexed headers (80).
GRPC_OVERHEAD_BYTES = 160

# Bytes of one HTTP/1.1 exchange beyond its bodies: request line and headers
# (200), answer headers (170), TCP/IP headers and acknowledgements (160).
HTTP_OVERHEAD_BYTES = 530

# Longest debt of processor time that is remembered, in seconds of the share;
# a demand surge of claims must not stop probes for long after its end.
_MAX_CPU_DEBT_S = 10.0


class Kind(enum.StrEnum):
    """What a message is for."""

    HEARTBEAT = "heartbeat"
    HEAD = "head"
    CONFIG = "config"
    STATUS = "status"
    HOSTS = "hosts"
    PROBE = "probe"
    PROCESS = "process"


# Share of the byte budget that refills the bucket. A window of 20 s may begin
# with a full bucket, which adds 5 %, and end in debt for heartbeats of peers;
# at a refill of the whole budget 4,187 B/s were measured against 4,096.
_REFILL_SHARE = 0.93

# Shortest time between two polls of one kind, whatever the settings say:
# shorter ones would spend the whole budget on polls that find nothing.
MIN_POLL_INTERVAL_S = 1.0

# Share of the bucket that a kind leaves untouched for the kinds above it.
# Without it, probes would take every byte as it accrues and a heartbeat or a
# poll of the head, which is larger than a probe, would never find enough.
_RESERVE_SHARE = {
    Kind.HEARTBEAT: 0.0,
    Kind.HEAD: 0.0,
    Kind.CONFIG: 0.0,
    Kind.STATUS: 0.1,
    Kind.HOSTS: 0.2,
    Kind.PROBE: 0.4,
    Kind.PROCESS: 0.4,
}

# Wait after which a kind needs no reserve for its next exchange. Polls at their
# shortest interval spend the bucket down to the reserve of probes for good.
_MAX_RESERVED_S = 5.0

# Kinds that go on while processor time or memory is overspent: claims of a
# demand surge use the same process and must not hold up a configuration
# change, the list of leaving hosts or an operator's drain. Their rate is
# fixed by their intervals.
_ESSENTIAL = frozenset({Kind.HEARTBEAT, Kind.HEAD, Kind.CONFIG, Kind.HOSTS})


@dataclasses.dataclass(slots=True)
class Spending:
    """What one kind has spent since the start."""

    bytes: int = 0
    cpu_s: float = 0.0
    deferred: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Permission for one exchange of at most `size_bytes`."""

    kind: Kind
    size_bytes: int


class ControlBudget:
    """Token bucket for bytes and account for processor time.

    Over any window of w seconds, exchanges within their grants take at most
    `0.93 * bytes_per_s * (w + 1)` bytes, so the budget holds over 20 s. A
    message larger than its grant, or one that a peer sent unasked, is charged
    as debt, which is paid before anything else is granted.

    Args:
        bytes_per_s: budget; the bucket holds one second of its refill.
        cpu_share: processor time in seconds a second.
        memory_bytes: memory above which only heartbeats and the
            configuration go on.
        now: monotonic seconds.
    """

    def __init__(
        self,
        *,
        bytes_per_s: float,
        cpu_share: float,
        memory_bytes: int,
        now: float,
    ) -> None:
        self._budget = bytes_per_s
        self._rate = bytes_per_s * _REFILL_SHARE
        self._cpu_share = cpu_share
        self._memory_limit = memory_bytes
        self._tokens = 0.0
        self._cpu_s = 0.0
        self._outstanding = 0
        self._updated_at = now
        self._memory = 0
        self._refused_since: dict[Kind, float] = {}
        self.spending = {kind: Spending() for kind in Kind}

    @property
    def bytes_per_s(self) -> float:
        """Byte budget of control."""
        return self._budget

    @property
    def memory_exceeded(self) -> bool:
        """Whether the last memory reading is above the limit."""
        return self._memory > self._memory_limit

    def note_memory(self, used_bytes: int) -> None:
        """Takes a reading of the resident memory."""
        self._memory = used_bytes

    def request(
        self, *, kind: Kind, size_bytes: int, now: float
    ) -> Grant | None:
        """Returns a grant, or None where the exchange has to wait.

        A message larger than the bucket is granted when the bucket is full
        but for the kinds above; the rest is debt.
        """
        self._refill(now)
        if not self._allows(kind, size_bytes, now):
            self.spending[kind].deferred += 1
            self._refused_since.setdefault(kind, now)
            return None
        self._refused_since.pop(kind, None)
        self._tokens -= size_bytes
        self._outstanding += size_bytes
        return Grant(kind=kind, size_bytes=size_bytes)

    def settle(self, grant: Grant, *, used_bytes: int, now: float) -> None:
        """Ends an exchange: returns what its grant had left over."""
        self._refill(now)
        self._outstanding -= grant.size_bytes
        self._tokens += grant.size_bytes - used_bytes
        self.spending[grant.kind].bytes += used_bytes

    def charge(self, *, kind: Kind, size_bytes: int, now: float) -> None:
        """Charges a message that nobody asked for, as debt if need be."""
        self._refill(now)
        self._tokens -= size_bytes
        self.spending[kind].bytes += size_bytes

    def charge_cpu(self, *, kind: Kind, cpu_s: float, now: float) -> None:
        """Charges processor time that was spent."""
        self._refill(now)
        self._cpu_s = max(
            self._cpu_s - cpu_s, -_MAX_CPU_DEBT_S * self._cpu_share
        )
        self.spending[kind].cpu_s += cpu_s

    def _allows(self, kind: Kind, size_bytes: int, now: float) -> bool:
        overspent = self.memory_exceeded or self._cpu_s < 0
        if overspent and kind not in _ESSENTIAL:
            return False
        reserve = self._rate * _RESERVE_SHARE[kind]
        if now - self._refused_since.get(kind, now) >= _MAX_RESERVED_S:
            reserve = 0.0
        return self._tokens >= min(size_bytes + reserve, self._rate)

    def _refill(self, now: float) -> None:
        passed = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        # Bytes granted but not settled count as held: a later refund must
        # not add to a bucket that has filled up meanwhile.
        room = max(0.0, self._rate - self._outstanding - self._tokens)
        self._tokens += min(room, passed * self._rate)
        # The account holds one second of its share, as the bucket does.
        self._cpu_s = min(
            self._cpu_share, self._cpu_s + passed * self._cpu_share
        )
