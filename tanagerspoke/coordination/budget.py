"""Control plane budget of one host: bytes, processor time and memory.

Every control exchange needs a grant and is deferred while the budget is spent.
The demand from callers never raises the budget.
"""

import dataclasses
import enum

# Bytes of one gRPC message beyond its body: TCP/IP headers of the segment
# and its acknowledgement (80), HTTP/2 frames with indexed headers (80).
GRPC_OVERHEAD_BYTES = 160

# Bytes of one HTTP/1.1 exchange beyond its bodies: request line and headers
# (200), response headers (170), TCP/IP headers and acknowledgements (160).
HTTP_OVERHEAD_BYTES = 530

# Longest time that a debt of processor time takes to pay off. Without a limit,
# a surge of claims would stop probes for long after its end.
_MAX_CPU_DEBT_S = 10.0


class Kind(enum.StrEnum):
    """Purpose for which budget is spent.

    HEAD polls the head revision of the configuration. PROCESS sends no message:
    the processor time of the whole process is charged to it.
    """

    HEARTBEAT = "heartbeat"
    HEAD = "head"
    CONFIG = "config"
    STATUS = "status"
    HOSTS = "hosts"
    PROBE = "probe"
    PROCESS = "process"


# Share of the byte budget that refills the bucket. A window of 20 s may begin
# with a full bucket, which adds 5 %, and end in debt for heartbeats of peers.
# Refilling with the whole budget led to 4,187 B/s where 4,096 are allowed.
_REFILL_SHARE = 0.93

# Lower bound of all poll intervals in the settings. Shorter intervals would
# spend the whole budget on polls that find no change.
MIN_POLL_INTERVAL_S = 1.0

# Share of the bucket that a kind leaves to kinds with a smaller share. Without
# it, probes would use all bytes as they accrue, and a heartbeat or a poll of
# the head, which are larger than a probe, would never fit.
_RESERVE_SHARE = {
    Kind.HEARTBEAT: 0.0,
    Kind.HEAD: 0.0,
    Kind.CONFIG: 0.0,
    Kind.STATUS: 0.1,
    Kind.HOSTS: 0.2,
    Kind.PROBE: 0.4,
    Kind.PROCESS: 0.4,
}

# Time of deferral after which an exchange of a kind needs no reserve. Otherwise
# polls at their shortest interval would keep the bucket too empty for probes,
# which would never be sent. Host lists wait less: an upstream that leaves must
# get no new calls 3 s later, of which the poll interval takes up to 1.25 s.
_MAX_RESERVE_WAIT_S = 5.0
_MAX_HOSTS_RESERVE_WAIT_S = 0.5

# Kinds that are still granted while processor time or memory is overspent. The
# claims of a surge run in the same process and must not delay a configuration
# change, the list of leaving hosts or an operator's drain. The rate of these
# kinds is bounded by their intervals.
_ESSENTIAL_KINDS = frozenset(
    {Kind.HEARTBEAT, Kind.HEAD, Kind.CONFIG, Kind.HOSTS}
)


@dataclasses.dataclass(slots=True)
class Spending:
    """Bytes, processor time and deferrals of one kind since the start."""

    bytes: int = 0
    cpu_s: float = 0.0
    deferred: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Permission for one exchange of at most `size_bytes`."""

    kind: Kind
    size_bytes: int


class ControlBudget:
    """Token bucket for bytes and an account of processor time.

    Over any window of w seconds, exchanges within their grants use at most
    `0.93 * bytes_per_s * (w + 1)` bytes, so the budget holds over 20 s. A
    message larger than its grant, or one that a peer sent without a request, is
    charged as debt, which is paid off before anything else is granted.

    Args:
        bytes_per_s: budget; the bucket holds one second of its refill.
        cpu_share: seconds of processor time per second.
        memory_bytes: memory above which only heartbeats, configuration and
            host lists are granted.
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
        self._bytes_per_s = bytes_per_s
        self._refill_bytes_per_s = bytes_per_s * _REFILL_SHARE
        self._cpu_share = cpu_share
        self._memory_limit_bytes = memory_bytes
        self._available_bytes = 0.0
        self._cpu_balance_s = 0.0
        self._granted_bytes = 0
        self._updated_at = now
        self._memory_used_bytes = 0
        self._deferred_since: dict[Kind, float] = {}
        self.spending = {kind: Spending() for kind in Kind}

    @property
    def bytes_per_s(self) -> float:
        """Byte budget of the control plane."""
        return self._bytes_per_s

    @property
    def memory_exceeded(self) -> bool:
        """Whether the last memory reading is above the limit."""
        return self._memory_used_bytes > self._memory_limit_bytes

    def record_memory(self, used_bytes: int) -> None:
        """Records the resident memory of the process."""
        self._memory_used_bytes = used_bytes

    def request(
        self, *, kind: Kind, size_bytes: int, now: float
    ) -> Grant | None:
        """Returns a grant, or None if the exchange must be deferred.

        An exchange that doesn't fit into the bucket together with the kind's
        reserve is granted once the bucket is full. Bytes beyond the bucket's
        level become debt.
        """
        self._refill(now)
        if not self._allows(kind, size_bytes, now):
            self.spending[kind].deferred += 1
            self._deferred_since.setdefault(kind, now)
            return None
        self._deferred_since.pop(kind, None)
        self._available_bytes -= size_bytes
        self._granted_bytes += size_bytes
        return Grant(kind=kind, size_bytes=size_bytes)

    def settle(self, grant: Grant, *, used_bytes: int, now: float) -> None:
        """Ends an exchange and returns the unused bytes of its grant."""
        self._refill(now)
        self._granted_bytes -= grant.size_bytes
        self._available_bytes += grant.size_bytes - used_bytes
        self.spending[grant.kind].bytes += used_bytes

    def charge(self, *, kind: Kind, size_bytes: int, now: float) -> None:
        """Charges a message without a grant, such as one from a peer."""
        self._refill(now)
        self._available_bytes -= size_bytes
        self.spending[kind].bytes += size_bytes

    def charge_cpu(self, *, kind: Kind, cpu_s: float, now: float) -> None:
        """Charges used processor time."""
        self._refill(now)
        self._cpu_balance_s = max(
            self._cpu_balance_s - cpu_s, -_MAX_CPU_DEBT_S * self._cpu_share
        )
        self.spending[kind].cpu_s += cpu_s

    def _allows(self, kind: Kind, size_bytes: int, now: float) -> bool:
        overspent = self.memory_exceeded or self._cpu_balance_s < 0
        if overspent and kind not in _ESSENTIAL_KINDS:
            return False
        reserve = self._refill_bytes_per_s * _RESERVE_SHARE[kind]
        max_wait_s = (
            _MAX_HOSTS_RESERVE_WAIT_S
            if kind is Kind.HOSTS
            else _MAX_RESERVE_WAIT_S
        )
        if now - self._deferred_since.get(kind, now) >= max_wait_s:
            reserve = 0.0
        return self._available_bytes >= min(
            size_bytes + reserve, self._refill_bytes_per_s
        )

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        # Granted bytes that are not settled count as part of the bucket's
        # level: their refund must not overfill it.
        free_bytes = max(
            0.0,
            self._refill_bytes_per_s
            - self._granted_bytes
            - self._available_bytes,
        )
        self._available_bytes += min(
            free_bytes, elapsed_s * self._refill_bytes_per_s
        )
        # The balance is at most the share of one second.
        self._cpu_balance_s = min(
            self._cpu_share, self._cpu_balance_s + elapsed_s * self._cpu_share
        )
