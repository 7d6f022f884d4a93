"""Refuses new jobs before a ledger node runs out of memory or disk. No I/O, no clock.

Answers a load of jobs that come faster than retention frees what earlier ones left: a process over
its memory limit is killed, and its successor with the same state after it; a full disk stops all
commits. Accepted jobs are kept, and their ends and reads go on.

The limits of the leader's own machine count; the other voters hold the same bytes. Not counted are
texts that accepted jobs will still produce: the shares leave room for them.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from stileloom.api.jobs import JobSubmission
from stileloom.jobs.job_ages import JobAges
from stileloom.jobs.registry import JobRegistry
from stileloom.proxy.admission_queue import with_jitter

DISK_SHARE = 0.5
"""Share of the disk for the blob log; the rest is for the journal, its copy and snapshots."""
REQUESTS_MEMORY_SHARE = 0.2
"""Share of the memory for requests of open jobs, which the leader holds while they run."""
ITEMS_MEMORY_SHARE = 0.3
"""Share of the memory for the replicated state."""
BYTES_PER_ITEM = 1000
"""Memory of an item in the replicated state, with a margin: an item takes some 700 bytes."""
OPEN_JOBS_RETRY_S = 1.0
"""Time after which a job is worth another try that was refused for the requests of open ones."""
MIN_RETRY_S = 0.5
MEGABYTE = 1_000_000


class ResourceLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of the machine; 0 means that a limit is not known and jobs are not refused for it."""

    memory_mb: float = 0.0
    disk_mb: float = 0.0


class JobRefusal(msgspec.Struct, frozen=True):
    """Why a job is refused, and in how many seconds there may be room; None if never."""

    reason: str
    retry_after_s: float | None


class JobAdmission:
    """Decides whether a new job fits."""

    def __init__(
        self,
        limits: ResourceLimits,
        retention_s: float,
        has_tenants: Callable[[], bool] = lambda: False,
    ) -> None:
        """`has_tenants` tells whether the active configuration has tenants."""
        self._has_tenants = has_tenants
        self._disk_bytes = limits.disk_mb * MEGABYTE * DISK_SHARE
        self._request_bytes = limits.memory_mb * MEGABYTE * REQUESTS_MEMORY_SHARE
        self._items = limits.memory_mb * MEGABYTE * ITEMS_MEMORY_SHARE / BYTES_PER_ITEM
        self._retention_s = retention_s

    def refusal(
        self, submission: JobSubmission, registry: JobRegistry, ages: JobAges, now: float
    ) -> JobRefusal | None:
        """Returns why a job is refused, or None if it fits."""
        refusal = self._refusal(submission, registry, ages, now)
        if refusal is None or refusal.retry_after_s is None or not self._has_tenants():
            return refusal
        # The jobs that are refused for the same reason would otherwise return together.
        retry_after_s = with_jitter(refusal.retry_after_s, submission.job_id)
        return JobRefusal(refusal.reason, retry_after_s)

    def _refusal(
        self, submission: JobSubmission, registry: JobRegistry, ages: JobAges, now: float
    ) -> JobRefusal | None:
        added = submission_bytes(submission)
        return (
            self._refused_for_requests(added, registry)
            or self._refused_for_disk(added, registry, ages, now)
            or self._refused_for_items(len(submission.items), registry, ages, now)
        )

    def _refused_for_requests(self, added: int, registry: JobRegistry) -> JobRefusal | None:
        if not self._request_bytes:
            return None
        if added > self._request_bytes:
            return JobRefusal("its requests exceed the memory of a ledger node", None)
        if added + registry.open_request_bytes <= self._request_bytes:
            return None
        return JobRefusal("the requests of open jobs fill the memory", OPEN_JOBS_RETRY_S)

    def _refused_for_disk(
        self, added: int, registry: JobRegistry, ages: JobAges, now: float
    ) -> JobRefusal | None:
        excess = registry.blob_end - registry.blob_start + added - self._disk_bytes
        if not self._disk_bytes or excess <= 0:
            return None
        if added > self._disk_bytes:
            return JobRefusal("its requests exceed the disk of a ledger node", None)
        kept_from = registry.blob_start + excess
        records = list(registry.jobs.values())
        # A job frees its bytes once all jobs before it are forgotten too.
        needed = sum(1 for record in records[1:] if record.first_blob < kept_from) + 1
        return JobRefusal("the disk is full", self._freed_in_s(needed, registry, ages, now))

    def _refused_for_items(
        self, added: int, registry: JobRegistry, ages: JobAges, now: float
    ) -> JobRefusal | None:
        if not self._items:
            return None
        excess = registry.item_count + added - self._items
        if excess <= 0:
            return None
        if added > self._items:
            return JobRefusal("its items exceed the memory of a ledger node", None)
        needed = 0
        for record in registry.jobs.values():
            if excess <= 0:
                break
            needed += 1
            excess -= len(record.submission.items)
        return JobRefusal("the memory is full", self._freed_in_s(needed, registry, ages, now))

    def _freed_in_s(self, jobs: int, registry: JobRegistry, ages: JobAges, now: float) -> float:
        """Seconds until the oldest `jobs` jobs will have been forgotten."""
        oldest = list(registry.jobs)[:jobs]
        known = [job_id for job_id in oldest if job_id in ages.accepted_at]
        rest_s = [self._retention_s - ages.age_s(job_id, now) for job_id in known]
        return max([MIN_RETRY_S, *rest_s])


def submission_bytes(submission: JobSubmission) -> int:
    """Approximate size of what a job's items add to the blob log, in bytes."""
    return sum(
        len(item.path) + len(item.body) + sum(len(n) + len(v) for n, v in item.headers.items())
        for item in submission.items
    )
