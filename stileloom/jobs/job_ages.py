"""Ages of jobs that survive a change of leader. No I/O, no clock.

Each ledger node counts the age of a job from the moment it first saw the job in its state, also
while another node leads. The leader records the ages of open jobs in the ledger, so that a node
that has just started continues from there. An age may be too low, by the time before such a node
saw the job and since the last record, but never too high: no item is given up early. No node
relies on the time of day of another.
"""

from __future__ import annotations

import msgspec

from stileloom.jobs.registry import JobRegistry


class JobAges(msgspec.Struct):
    """Ages of all jobs as counted by one node. Times are monotonic seconds."""

    accepted_at: dict[str, float] = msgspec.field(default_factory=dict)
    """Latest possible time of acceptance, by job id."""

    def observe(self, registry: JobRegistry, now: float) -> None:
        """Starts counting new jobs and applies recorded ages."""
        for job_id, record in registry.jobs.items():
            accepted_at = now - record.age_s
            self.accepted_at[job_id] = min(accepted_at, self.accepted_at.get(job_id, accepted_at))
        for job_id in self.accepted_at.keys() - registry.jobs.keys():
            del self.accepted_at[job_id]

    def age_s(self, job_id: str, now: float) -> float:
        """Age of an observed job."""
        return now - self.accepted_at[job_id]
