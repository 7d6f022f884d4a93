"""The leader's lease, measured from the send time of heartbeats (Gray and Cheriton 1989).

Followers that replied to a heartbeat sent at time t start no election and grant no vote before
t + ELECTION_TIMEOUT_MIN_S on their own clocks, unless the leader transfers its leadership or,
after a restart, is the candidate itself. The lease expires earlier, at t + LEADER_LEASE_S; the
difference is the margin for clock drift. The clock is monotonic and advances while the process is
paused, so a leader that resumes after its lease expired detects it at the next check.
"""

from __future__ import annotations

from stileloom import constants


class LeaderLease:
    """Tracks confirmations of the leader's lease."""

    def __init__(self) -> None:
        self._sent_at: dict[int, float] = {}
        self._confirmed_at: dict[str, float] = {}

    def record_sent(self, nonce: int, now: float) -> None:
        """Records the send time of the heartbeat with this nonce."""
        self._sent_at[nonce] = now
        if len(self._sent_at) > 1024:
            self._sent_at.pop(next(iter(self._sent_at)))

    def record_confirmed(self, follower: str, nonce: int) -> None:
        """Records a follower's reply to the heartbeat with this nonce."""
        sent_at = self._sent_at.get(nonce)
        if sent_at is not None:
            self._confirmed_at[follower] = max(self._confirmed_at.get(follower, sent_at), sent_at)

    def expires_at(self, me: str, voters: list[str], now: float) -> float:
        """When the lease expires, from the newest confirmations of a majority of the voters."""
        times = [now if v == me else self._confirmed_at.get(v, float("-inf")) for v in voters]
        if not times:
            return float("-inf")
        times.sort(reverse=True)
        majority_at = times[len(voters) // 2]
        return majority_at + constants.LEADER_LEASE_S

    def clear(self) -> None:
        """Discards all confirmations when leadership is lost."""
        self._sent_at.clear()
        self._confirmed_at.clear()
