"""Limits of the claim protocol."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Limits of the claim protocol in one agent.

    Attributes:
        writes_per_s: maximum rate of transactions, or of rows if
            `charge_rows` is set.
        group_rows: maximum number of rows in one transaction.
        retention_s: lifetime of rows in the table.
        reply_within_s: maximum time from a claim request to its reply.
        grace_s: added to a claim's deadline before other attempts with its
            key get "outcome unknown" instead of "in progress"; covers clock
            differences between hosts.
        max_entries: maximum number of claims and records in memory. A claim
            counts until it is completed, so there is always room for its
            release.
        max_response_bytes: maximum total size of response bodies waiting to
            be written; above it a record is written without its response.
        charge_rows: whether the table's rate limit counts rows instead of
            transactions.
    """

    writes_per_s: float
    group_rows: int
    retention_s: float
    reply_within_s: float = 1.0
    grace_s: float = 5.0
    max_entries: int = 20_000
    max_response_bytes: int = 33_554_432
    charge_rows: bool = False
