"""Messages between gateways and the ledger's leader about usage."""

from __future__ import annotations

import msgspec

WindowCounts = dict[int, dict[str, int]]
"""Requests that began, by window and tenant."""


class ReportUsageCall(msgspec.Struct, frozen=True, tag=True):
    """Totals of one gateway process for all windows that it does not know to be closed.

    Totals only grow, so repeats and reports that overtake each other are harmless.
    """

    source: str
    """The gateway process; a restarted gateway is another source."""
    totals: WindowCounts
    is_final: bool = False
    """Whether the process is about to end, so that its totals must be committed."""


class UsageReported(msgspec.Struct, frozen=True, tag=True):
    """The leader has the totals."""

    closed_before: int
    """Windows below this one are closed; their totals need not be sent again."""
