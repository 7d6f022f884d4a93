"""Earliest time at which a new leader may send orders to samplers. No I/O, no clock.

Samplers do not have to check fencing tokens, so orders of two leaders must be at least one lease
apart. A leader therefore sends orders only within a window: for `ORDER_WINDOW_S` after it
proposed `OpenOrderWindow`, and only once that entry is committed. A later leader has the entry in
its log; the window ends at most `ORDER_WINDOW_S` after the entry was observed there. The new
leader waits one lease from that point, not from its election. It does not wait if the last
window was its own or if there was none.
"""

from __future__ import annotations

import msgspec

ORDER_WINDOW_S = 0.8
MAX_ORDER_DELAY_S = 0.2
"""Upper bound on the transit time of an order sent at the end of a window."""


class OrderWindows(msgspec.Struct):
    """The order windows of all leaders as observed by one node, in its own monotonic time."""

    opened: int = 0
    """Number of windows opened so far."""
    observed_at: float = float("-inf")
    """When the newest window was first observed."""

    def observe(self, opened: int, now: float) -> None:
        """Records the number of windows in the ledger's current state."""
        if opened != self.opened:
            self.opened = opened
            self.observed_at = now

    def earliest_order_at(self, last_holder: str, node_id: str, lease_s: float) -> float:
        """Earliest time of this node's first order as a new leader."""
        if last_holder in ("", node_id):
            return float("-inf")
        return self.observed_at + ORDER_WINDOW_S + MAX_ORDER_DELAY_S + lease_s
