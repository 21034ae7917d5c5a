"""Limits of the claim protocol."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Limits of the claim protocol in one agent.

    Attributes:
        writes_per_s: most transactions a second, or rows with `charge_rows`.
        group_rows: most rows of one transaction.
        retention_s: lifetime of rows.
        answer_within_s: longest wait of a claim for the table.
        grace_s: added to a claim's deadline before repeats get "outcome
            unknown"; covers clock differences between hosts.
        max_entries: most claims and records in memory. A claim keeps its
            place until it is completed, so its release always finds one.
        max_answer_bytes: most bytes of answers waiting to be recorded; above
            it a record is written without its answer.
        charge_rows: whether the table counts rows instead of transactions.
    """

    writes_per_s: float
    group_rows: int
    retention_s: float
    answer_within_s: float = 1.0
    grace_s: float = 5.0
    max_entries: int = 20_000
    max_answer_bytes: int = 33_554_432
    charge_rows: bool = False
