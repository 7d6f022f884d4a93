"""Detects that this process was frozen. Performs no I/O.

Handles loads that arrive while this process is stopped or blocked: they are sent long before they
are read, so they are older than the time of their arrival shows.
"""

from __future__ import annotations

import math

STALL_S = 0.3
"""Time without a step after which received messages may have been sent long ago.

A reading has full weight up to this age, so a shorter delay does not change what it counts for.
Steps come every 0.1 s; they are this late only in a process that is frozen or blocked.
"""
STALL_RECOVERY_S = 0.2
"""How long readings are ignored after a stall; the messages held up are handled within this time.

This is the timeout of an exchange: a call that was sent during the stall has been given up by then.
"""
FORGET_AFTER_S = 1.5
"""Stalls closer to each other than the expiry of readings count as one."""


class StallDetector:
    """Tells whether the time of arrival of a message shows its age."""

    def __init__(self) -> None:
        self._stepped_at: float | None = None
        self._ignore_from = -math.inf
        self._ignore_until = -math.inf

    def step(self, now: float) -> None:
        """Called at short intervals while the process runs."""
        if self._stepped_at is not None and now - self._stepped_at >= STALL_S:
            if self._stepped_at > self._ignore_until + FORGET_AFTER_S:
                self._ignore_from = self._stepped_at
            self._ignore_until = now + STALL_RECOVERY_S
        self._stepped_at = now

    def reliable_for_s(self, now: float) -> float:
        """For how long the answer of `is_reliable` has been true."""
        return now - self._ignore_until if self.is_reliable(now) else 0.0

    def is_reliable(self, received_at: float) -> bool:
        """Whether a message that was received at this time did not wait for a frozen process.

        Also false before the first step after a stall: event loops handle sockets before timers.
        """
        if self._stepped_at is not None and received_at - self._stepped_at >= STALL_S:
            return False
        return not self._ignore_from <= received_at < self._ignore_until
