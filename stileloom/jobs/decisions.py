"""Decision records of the leader: starts of items and refused jobs. Performs no I/O."""

from __future__ import annotations

from stileloom.api.jobs import JobSubmission
from stileloom.decisions import DecisionKind, DecisionRecord
from stileloom.jobs.job_admission import JobRefusal
from stileloom.jobs.open_items import PlannedRun
from stileloom.jobs.scheduler import ItemScheduler


def item_started(start: PlannedRun, scheduler: ItemScheduler, now: float) -> DecisionRecord:
    """The record of an item whose run is about to start, with the figures of its sampler.

    The wait is that of the first run: later ones continue the item.
    """
    item, sampler_id = start.item, start.sampler_id
    interval_s = scheduler.event_interval_s(sampler_id, item.service, now)
    return DecisionRecord(
        kind=DecisionKind.ITEM_STARTED,
        request=item.key[1],
        job=item.key[0],
        tenant=item.tenant,
        service=item.service,
        priority=item.priority,
        share=scheduler.dominant_share(item),
        wait_ms=None if item.has_run else round((now - item.adopted_at) * 1000),
        sampler=sampler_id,
        event_interval_ms=round(interval_s * 1000),
        running_there=scheduler.stats(sampler_id).running,
        after_events=len(item.partial.parts),
        at=now,
    )


def job_refused(submission: JobSubmission, refusal: JobRefusal, now: float) -> DecisionRecord:
    """The record of a job for which there is no room."""
    return DecisionRecord(
        kind=DecisionKind.JOB_REFUSED,
        request=submission.job_id,
        job=submission.job_id,
        tenant=submission.tenant,
        reason=refusal.reason,
        retry_after_s=refusal.retry_after_s,
        at=now,
    )
