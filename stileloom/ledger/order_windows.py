"""When a new leader may give orders to samplers. No I/O, no clock.

Samplers need not check fences, so orders of two nodes must lie a lease apart. A leader
therefore gives orders only within a window: for `ORDER_WINDOW_S` after it proposed
`OpenOrderWindow`, and only once that is committed. A later leader holds that entry; whenever
it learned of it, the orders of that window ended at most `ORDER_WINDOW_S` later. So it waits
one lease from there, and not from its election; not at all where the last window was its
own, or where there never was one.
"""

from __future__ import annotations

import msgspec

ORDER_WINDOW_S = 0.8
LATENESS_S = 0.2
"""An order that was sent at the end of a window is on its way for less than this."""


class OrderWindows(msgspec.Struct):
    """What one node knows of the windows of all leaders. Times are its own monotonic seconds."""

    opened: int = 0
    """How many windows were opened, as far as is known."""
    learned_at: float = float("-inf")
    """When the newest one was learned of, or later."""

    def learned(self, opened: int, now: float) -> None:
        """The ledger's state has so many windows now."""
        if opened != self.opened:
            self.opened = opened
            self.learned_at = now

    def orders_from(self, last_holder: str, node_id: str, lease_s: float) -> float:
        """When this node may give its first order as a new leader."""
        if last_holder in ("", node_id):
            return float("-inf")
        return self.learned_at + ORDER_WINDOW_S + LATENESS_S + lease_s
