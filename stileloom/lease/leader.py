"""The leader's lease, counted from the time of sending (Gray and Cheriton 1989).

A majority that answered a heartbeat sent at time t starts no election before
t + ELECTION_TIMEOUT_MIN_S on its own clocks. The lease ends earlier, at
t + LEADER_LEASE_S, which leaves the difference for clocks that run at unlike speed.
The clock is monotonic and counts through a pause of the process, so a holder that wakes
after its lease sees at its next check that the lease is gone.
"""

from __future__ import annotations

from stileloom import constants


class LeaderLease:
    """Answers one question: does this leader still hold its lease?"""

    def __init__(self) -> None:
        self._sent_at: dict[int, float] = {}
        self._confirmed: dict[str, float] = {}

    def sent(self, nonce: int, now: float) -> None:
        """A heartbeat with this nonce leaves now."""
        self._sent_at[nonce] = now
        if len(self._sent_at) > 1024:
            self._sent_at.pop(next(iter(self._sent_at)))

    def confirmed(self, follower: str, nonce: int) -> None:
        """A follower answered the heartbeat with this nonce."""
        sent_at = self._sent_at.get(nonce)
        if sent_at is not None:
            self._confirmed[follower] = max(self._confirmed.get(follower, sent_at), sent_at)

    def expires_at(self, me: str, voters: list[str], now: float) -> float:
        """When the lease ends: the majority's newest confirmations decide."""
        times = [now if v == me else self._confirmed.get(v, float("-inf")) for v in voters]
        if not times:
            return float("-inf")
        times.sort(reverse=True)
        majority_at = times[len(voters) // 2]
        return majority_at + constants.LEADER_LEASE_S

    def clear(self) -> None:
        """Forgets everything, at the loss of leadership."""
        self._sent_at.clear()
        self._confirmed.clear()
