"""Decides when a replica takes its next snapshot. Performs no I/O and reads no clock."""

from __future__ import annotations

import random

from stileloom import constants


class SnapshotSchedule:
    """Growth of the log since the newest snapshot, compared with the cost of another one."""

    def __init__(self, disk_id: str, last_index: int, state_bytes: int, log_bytes: int) -> None:
        self._disk_id = disk_id
        self._last_index = 0
        """Last index that the newest snapshot covers."""
        self._growth_bytes = 0.0
        self.record_snapshot(last_index, state_bytes)
        self.log_bytes = log_bytes
        """Size of the entries since the newest snapshot."""

    def record_snapshot(self, last_index: int, state_bytes: int) -> None:
        """Records a snapshot that was taken or installed."""
        self._last_index = last_index
        self.log_bytes = 0
        # Differs by voter, so that they do not all write their states at the same time.
        by_disk = random.Random(f"{self._disk_id} {last_index}")
        self._growth_bytes = state_bytes * by_disk.uniform(
            constants.SNAPSHOT_GROWTH_MIN, constants.SNAPSHOT_GROWTH_MAX
        )

    def is_due(self, applied_index: int, is_transferring: bool) -> bool:
        """Whether the log has grown enough.

        A transfer postpones the snapshot, because each keeps an encoded state in memory.
        """
        few = applied_index - self._last_index < constants.SNAPSHOT_AFTER_ENTRIES
        if few and self.log_bytes < constants.SNAPSHOT_AFTER_BYTES:
            return False
        due_at = self._growth_bytes * (2 if is_transferring else 1)
        return self.log_bytes >= due_at
