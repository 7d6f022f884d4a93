"""The leader's own order window: opened through the ledger, short, and checked at each order."""

from __future__ import annotations

from stileloom.clock import steady_time
from stileloom.errors import StileloomError
from stileloom.jobs.leader_ledger import LeaderLedger
from stileloom.ledger.commands import OpenOrderWindow
from stileloom.ledger.order_windows import ORDER_WINDOW_S

MIN_LEFT_S = 0.2
"""With less than this left a new window is opened first."""


class OrderWindow:
    """Windows of one leadership."""

    def __init__(self, node_id: str, ledger: LeaderLedger, needed: bool = True) -> None:
        self._node_id = node_id
        self._ledger = ledger
        self._closes_at = float("-inf") if needed else float("inf")
        """Without windows the lease alone decides; a new leader then waits from its election."""

    def is_open(self) -> bool:
        """Whether an order may leave now: a process may have slept since it was asked last."""
        return self._ledger.may_act() and steady_time() < self._closes_at

    async def open(self) -> bool:
        """Opens a window where none is, or little is left of it; False where that failed."""
        proposed_at = steady_time()
        if self._ledger.may_act() and proposed_at < self._closes_at - MIN_LEFT_S:
            return True
        try:
            await self._ledger.propose(OpenOrderWindow(self._node_id))
        except StileloomError:
            return False
        self._closes_at = proposed_at + ORDER_WINDOW_S
        return self.is_open()
