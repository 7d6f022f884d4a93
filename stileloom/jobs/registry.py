"""Replicated registry of batch jobs. Deterministic: uses no clock and no random numbers."""

from __future__ import annotations

import zlib

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
MAX_ENDED_JOBS_WITH_TEXTS = 8
"""Number of ended jobs whose saved texts stay; items come again in one of the next jobs."""
TEXT_COMPRESSION_LEVEL = 1
MAX_CLOSED_IDS = 1000
MAX_CLOSED_ID_LENGTH = 256
"""Longer ids are not kept, so that ends of unknown jobs take little memory."""


def result_size(result: ItemResult) -> int:
    """Returns an upper estimate of the encoded size of a result, including escaped characters."""
    return 2 * len(result.text) + 200


class StoredResult(msgspec.Struct, frozen=True, array_like=True):
    """A listed result. Its text is compressed, because texts are most of the replicated state."""

    item_id: str
    state: ItemState
    compressed_text: bytes
    versions: list[int]
    score: str

    @classmethod
    def store(cls, result: ItemResult) -> StoredResult:
        """Compresses a result."""
        text = zlib.compress(result.text.encode(), TEXT_COMPRESSION_LEVEL)
        return cls(result.item_id, result.state, text, result.versions, result.score)

    def load(self) -> ItemResult:
        """Returns the result as it was listed."""
        text = zlib.decompress(self.compressed_text).decode()
        return ItemResult(self.item_id, self.state, text, self.versions, self.score)


class JobRecord(msgspec.Struct):
    """A job with its listed results and saved progress."""

    submission: JobSubmission
    results: list[StoredResult] = msgspec.field(default_factory=list)
    listed: set[str] = msgspec.field(default_factory=set)
    ended: bool = False
    progress: dict[str, PartialText] = msgspec.field(default_factory=dict)
    """Saved events of items without a listed result, by item id."""
    age_s: int = 0
    """Age of the job when a leader last recorded it."""

    @property
    def is_open(self) -> bool:
        """Whether the job has not ended and has items without a result."""
        return not self.ended and len(self.results) < len(self.submission.items)

    def item(self, item_id: str) -> JobItem | None:
        """Returns an item of a job that has not ended, by its id."""
        if self.ended:
            return None
        for item in self.submission.items:
            if item.item_id == item_id:
                return item
        return None

    def page(self, position: int) -> ResultPage:
        """Returns results from a position, up to `PAGE_BYTES` but at least one if available."""
        chosen: list[ItemResult] = []
        size = 0
        for result in map(StoredResult.load, self.results[position:]):
            size += result_size(result)
            if chosen and size > PAGE_BYTES:
                break
            chosen.append(result)
        return ResultPage(len(self.submission.items), position + len(chosen), chosen)


class JobRegistry(msgspec.Struct):
    """All jobs by id."""

    jobs: dict[str, JobRecord] = msgspec.field(default_factory=dict)
    interval_s: dict[str, float] = msgspec.field(default_factory=dict)
    """Event interval of each sampler, as last recorded by a leader."""
    ended_with_texts: list[str] = msgspec.field(default_factory=list)
    """Ids of ended jobs whose saved texts a later job may continue, newest last."""
    closed_ids: list[str] = msgspec.field(default_factory=list)
    """Ids of jobs that are not stored and do not run if their submission arrives, newest last.

    They were forgotten, or ended before they were submitted.
    """

    def submit(self, submission: JobSubmission) -> bool:
        """Adds a job; returns False if it was added before.

        It does not run if a link held up its submission until its end, or until it was forgotten.
        """
        job_id = submission.job_id
        if job_id in self.jobs:
            return False
        if job_id in self.closed_ids:
            self.jobs[job_id] = JobRecord(_without_requests(submission), ended=True)
        else:
            self.jobs[job_id] = JobRecord(submission)
        return True

    def save(self, job_id: str, items: list[ItemProgress]) -> None:
        """Saves events of items without a listed result."""
        job = self.jobs.get(job_id)
        if job is None or (job.ended and job_id not in self.ended_with_texts):
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
        """Appends results in the given order; items that already have one are skipped."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        known = {item.item_id for item in job.submission.items}
        for item in finished:
            if item.item_id not in known or item.item_id in job.listed:
                continue
            saved = job.progress.get(item.item_id, PartialText())
            if job.ended and len(saved.parts) < item.saved_parts:
                # The rest of its text was removed after the end of the job.
                continue
            job.progress.pop(item.item_id, None)
            parts = saved.parts[: item.saved_parts]
            text = "\n".join([*parts, *item.parts]) if item.state is ItemState.SUCCEEDED else ""
            job.listed.add(item.item_id)
            result = ItemResult(item.item_id, item.state, text, item.versions, item.score)
            job.results.append(StoredResult.store(result))

    def record_ages(self, age_s: dict[str, int]) -> None:
        """Records ages of jobs; an age never decreases."""
        for job_id, age in age_s.items():
            job = self.jobs.get(job_id)
            if job is not None:
                job.age_s = max(job.age_s, age)

    def end(self, job_id: str) -> bool:
        """Ends a job; returns False if it does not exist yet."""
        job = self.jobs.get(job_id)
        if job is None:
            self._close_id(job_id)
            return False
        if not job.ended:
            job.ended = True
            job.submission = _without_requests(job.submission)
            self._limit_ended_texts(job_id)
        return True

    def _limit_ended_texts(self, ended_job_id: str) -> None:
        self.ended_with_texts.append(ended_job_id)
        while len(self.ended_with_texts) > MAX_ENDED_JOBS_WITH_TEXTS:
            oldest = self.jobs.get(self.ended_with_texts.pop(0))
            if oldest is not None:
                oldest.progress.clear()

    def forget(self, job_id: str) -> None:
        """Removes a job after its retention period."""
        if self.jobs.pop(job_id, None) is not None:
            self._close_id(job_id)

    def _close_id(self, job_id: str) -> None:
        if job_id not in self.closed_ids and len(job_id) <= MAX_CLOSED_ID_LENGTH:
            self.closed_ids = [*self.closed_ids, job_id][-MAX_CLOSED_IDS:]


def _without_requests(submission: JobSubmission) -> JobSubmission:
    """The submission without what only its runs need, to save memory until it is forgotten.

    Ids and reward calls stay: they decide whether a later job may reuse a result.
    """
    items = [
        msgspec.structs.replace(item, path="", headers={}, body=b"") for item in submission.items
    ]
    return msgspec.structs.replace(submission, items=items)
