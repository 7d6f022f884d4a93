"""The replicated record of batch jobs. Deterministic: no clock, no random numbers."""

from __future__ import annotations

import msgspec

from stileloom.api.jobs import (
    FinishedItem,
    ItemProgress,
    ItemResult,
    ItemState,
    JobItem,
    JobSubmission,
    ResultPage,
)
from stileloom.jobs.partial_text import PartialText

PAGE_BYTES = 900_000


def result_size(result: ItemResult) -> int:
    """Bytes of a result in an answer, at most: characters may be escaped."""
    return 2 * len(result.text) + 200


class JobRecord(msgspec.Struct):
    """One job and its results so far."""

    submission: JobSubmission
    results: list[ItemResult] = msgspec.field(default_factory=list)
    listed: set[str] = msgspec.field(default_factory=set)
    ended: bool = False
    progress: dict[str, PartialText] = msgspec.field(default_factory=dict)
    """Saved events of items that are not listed, by item id."""

    @property
    def is_open(self) -> bool:
        """Whether items still have to run."""
        return not self.ended and len(self.results) < len(self.submission.items)

    def item(self, item_id: str) -> JobItem | None:
        """An item by its id."""
        for item in self.submission.items:
            if item.item_id == item_id:
                return item
        return None

    def page(self, position: int) -> ResultPage:
        """Results from a position on, at least one if there is one, up to `PAGE_BYTES`."""
        chosen: list[ItemResult] = []
        size = 0
        for result in self.results[position:]:
            size += result_size(result)
            if chosen and size > PAGE_BYTES:
                break
            chosen.append(result)
        return ResultPage(len(self.submission.items), position + len(chosen), chosen)


class JobBook(msgspec.Struct):
    """All jobs by id."""

    jobs: dict[str, JobRecord] = msgspec.field(default_factory=dict)
    interval_s: dict[str, float] = msgspec.field(default_factory=dict)
    """Time between two events at each sampler, as the last leader measured it."""

    def submit(self, submission: JobSubmission) -> bool:
        """Takes a job once; False where it was taken before."""
        if submission.job_id in self.jobs:
            return False
        self.jobs[submission.job_id] = JobRecord(submission)
        return True

    def save(self, job_id: str, items: list[ItemProgress]) -> None:
        """Adds events to what is saved of items that are not listed yet."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        for item in items:
            if item.item_id in job.listed:
                continue
            saved = job.progress.setdefault(item.item_id, PartialText())
            saved.parts[item.first_part :] = item.parts
            saved.last_event_id = item.last_event_id
            saved.versions = list(item.versions)
            saved.whole = item.whole

    def record(self, job_id: str, finished: list[FinishedItem]) -> None:
        """Lists results of items that are not listed yet, in the order given."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        known = {item.item_id for item in job.submission.items}
        for item in finished:
            if item.item_id not in known or item.item_id in job.listed:
                continue
            saved = job.progress.pop(item.item_id, None)
            parts = saved.parts[: item.saved_parts] if saved is not None else []
            text = "\n".join([*parts, *item.parts]) if item.state is ItemState.SUCCEEDED else ""
            job.listed.add(item.item_id)
            job.results.append(
                ItemResult(item.item_id, item.state, text, item.versions, item.score)
            )

    def end(self, job_id: str) -> bool:
        """Ends a job; False where there is none."""
        job = self.jobs.get(job_id)
        if job is None:
            return False
        job.ended = True
        return True

    def forget(self, job_id: str) -> None:
        """Drops a job that nobody may ask for any more."""
        self.jobs.pop(job_id, None)
