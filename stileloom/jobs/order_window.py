"""Order windows: short intervals, committed to the ledger, in which the leader may send orders."""

from __future__ import annotations

from stileloom.clock import steady_time
from stileloom.errors import StileloomError
from stileloom.jobs.leader_ledger import LeaderLedger
from stileloom.ledger.commands import OpenOrderWindow
from stileloom.ledger.order_windows import ORDER_WINDOW_S

MIN_REMAINING_S = 0.2
"""A new window is opened if less time than this remains."""


class OrderWindow:
    """Order windows of one leadership."""

    def __init__(self, node_id: str, ledger: LeaderLedger, required: bool = True) -> None:
        self._node_id = node_id
        self._ledger = ledger
        self._closes_at = float("-inf") if required else float("inf")
        """Infinite if windows are disabled; then only the lease restricts orders."""

    def is_open(self) -> bool:
        """Whether an order may be sent now.

        Checked again before each send, because the process may have been suspended.
        """
        return self._ledger.is_active_leader() and steady_time() < self._closes_at

    async def open(self) -> bool:
        """Opens a new window if too little time remains; returns whether an order may be sent."""
        proposed_at = steady_time()
        if self._ledger.is_active_leader() and proposed_at < self._closes_at - MIN_REMAINING_S:
            return True
        try:
            await self._ledger.propose(OpenOrderWindow(self._node_id))
        except StileloomError:
            return False
        self._closes_at = proposed_at + ORDER_WINDOW_S
        return self.is_open()
