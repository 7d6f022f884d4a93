"""When a replica starts an election. Performs no I/O and reads no clock."""

from __future__ import annotations

import random

from stileloom import constants


class ElectionTimer:
    """Randomized election timeouts (Raft, section 5.2).

    After a restart of all nodes the previous leader campaigns first: if it opened the last order
    window, it may send orders without waiting (`ledger/order_windows.py`).
    """

    def __init__(
        self, node_id: str, previous_leader: str, rng: random.Random, restarted_at: float
    ) -> None:
        self.previous_leader = previous_leader
        """Leader before the restart; empty if unknown or once a new leader is known."""
        self._node_id = node_id
        self._rng = rng
        self._restarted_at = restarted_at
        self._due_at = float("inf")
        self.restart(restarted_at)

    def restart(self, now: float) -> None:
        """Postpones the election by a new timeout."""
        self._due_at = now + self._timeout_s(now)

    def is_due(self, now: float) -> bool:
        """Whether the timeout has passed without a leader."""
        return now >= self._due_at

    def _timeout_s(self, now: float) -> float:
        if self.previous_leader and now < self._restarted_at + constants.RESTART_PERIOD_S:
            if self.previous_leader == self._node_id:
                return constants.RESTART_ELECTION_RETRY_INTERVAL_S
            return self._rng.uniform(
                constants.RESTART_ELECTION_MIN_S, constants.RESTART_ELECTION_MAX_S
            )
        return self._rng.uniform(constants.ELECTION_TIMEOUT_MIN_S, constants.ELECTION_TIMEOUT_MAX_S)
