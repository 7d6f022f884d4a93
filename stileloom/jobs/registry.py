"""Replicated registry of batch jobs. Deterministic: uses no clock and no random numbers.

Requests of items and texts of results are most of the data and are rarely read, so the registry
holds references into a blob log, which ledger nodes keep on disk.
"""

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
from stileloom.blobs import BlobLog, BlobReference, MemoryBlobLog, read_blob, reference_to
from stileloom.jobs.partial_text import PartialText

PAGE_BYTES = 900_000
MAX_ENDED_JOBS_WITH_TEXTS = 8
"""Number of ended jobs whose saved texts stay; items come again in one of the next jobs."""
MAX_CLOSED_IDS = 1000
MAX_CLOSED_ID_LENGTH = 256
"""Longer ids are not kept, so that ends of unknown jobs take little memory."""


def result_size(result: ItemResult) -> int:
    """Returns an upper estimate of the encoded size of a result, including escaped characters."""
    return 2 * len(result.text) + 200


class ItemRequest(msgspec.Struct, frozen=True, array_like=True):
    """What only the runs of an item need."""

    path: str
    headers: dict[str, str]
    body: bytes


class StoredResult(msgspec.Struct, frozen=True, array_like=True):
    """A listed result."""

    item_id: str
    state: ItemState
    text: BlobReference
    versions: list[int]
    score: str


class JobRecord(msgspec.Struct):
    """A job with its listed results and saved progress."""

    submission: JobSubmission
    """Its items have no requests, except in a record that is not in a registry."""
    requests: list[BlobReference] = msgspec.field(default_factory=list)
    """The request of each item, in order; empty once the job has ended."""
    first_blob: int = 0
    """Position in the blob log from which this job and later ones refer to it."""
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


class JobRegistry(msgspec.Struct, dict=True):
    """All jobs by id."""

    jobs: dict[str, JobRecord] = msgspec.field(default_factory=dict)
    """In the order of their submission."""
    interval_s: dict[str, float] = msgspec.field(default_factory=dict)
    """Event interval of each sampler, as last recorded by a leader."""
    ended_with_texts: list[str] = msgspec.field(default_factory=list)
    """Ids of ended jobs whose saved texts a later job may continue, newest last."""
    closed_ids: list[str] = msgspec.field(default_factory=list)
    """Ids of jobs that are not stored and do not run if their submission arrives, newest last.

    They were forgotten, or ended before they were submitted.
    """
    blob_end: int = 0
    """Position in the blob log at which the next byte string is written."""

    # The blob log is not part of the encoded state.

    @property
    def blobs(self) -> BlobLog:
        """The log that holds requests and texts; in memory unless another one was attached."""
        found: BlobLog = self.__dict__.setdefault("blob_log", MemoryBlobLog())
        return found

    def attach_blobs(self, blobs: BlobLog) -> None:
        """Sets the log, right after the state was created or decoded."""
        self.__dict__["blob_log"] = blobs

    @property
    def blob_start(self) -> int:
        """Position in the blob log before which nothing is referred to."""
        oldest = next(iter(self.jobs.values()), None)
        return oldest.first_blob if oldest is not None else self.blob_end

    @property
    def open_request_bytes(self) -> int:
        """Size of the requests of open jobs, which the leader holds in memory."""
        return sum(
            record.requests[-1].end - record.requests[0].offset
            for record in self.jobs.values()
            if record.is_open and record.requests
        )

    @property
    def item_count(self) -> int:
        """Number of items of all jobs."""
        return sum(len(record.submission.items) for record in self.jobs.values())

    def _store(self, data: bytes) -> BlobReference:
        reference = reference_to(self.blob_end, data)
        self.blobs.write(reference.offset, data)
        self.blob_end = reference.end
        return reference

    # Reads. They raise `BlobUnavailable` if the log is damaged.

    def load_result(self, result: StoredResult) -> ItemResult:
        """Returns a result as it was listed."""
        text = read_blob(self.blobs, result.text).decode()
        return ItemResult(result.item_id, result.state, text, result.versions, result.score)

    def load_items(self, record: JobRecord) -> list[JobItem]:
        """Returns the items of a job with their requests, unless the job has ended."""
        if not record.requests:
            return record.submission.items
        references = zip(record.submission.items, record.requests, strict=True)
        return [self._load_item(item, reference) for item, reference in references]

    def item(self, job_id: str, item_id: str) -> JobItem | None:
        """Returns an item of a job that has not ended, by its id."""
        record = self.jobs.get(job_id)
        if record is None or record.ended:
            return None
        for item, reference in zip(record.submission.items, record.requests, strict=True):
            if item.item_id == item_id:
                return self._load_item(item, reference)
        return None

    def _load_item(self, item: JobItem, reference: BlobReference) -> JobItem:
        request = msgspec.msgpack.decode(read_blob(self.blobs, reference), type=ItemRequest)
        return msgspec.structs.replace(
            item, path=request.path, headers=request.headers, body=request.body
        )

    def page(self, job_id: str, position: int) -> ResultPage:
        """Returns results from a position, up to `PAGE_BYTES` but at least one if available."""
        record = self.jobs[job_id]
        chosen: list[ItemResult] = []
        size = 0
        for stored in record.results[position:]:
            result = self.load_result(stored)
            size += result_size(result)
            if chosen and size > PAGE_BYTES:
                break
            chosen.append(result)
        return ResultPage(len(record.submission.items), position + len(chosen), chosen)

    # Commands.

    def submit(self, submission: JobSubmission) -> bool:
        """Adds a job; returns False if it was added before.

        It does not run if a link held up its submission until its end, or until it was forgotten.
        """
        job_id = submission.job_id
        if job_id in self.jobs:
            return False
        record = JobRecord(_without_requests(submission), first_blob=self.blob_end)
        if job_id in self.closed_ids:
            record.ended = True
        else:
            for item in submission.items:
                request = ItemRequest(item.path, item.headers, item.body)
                record.requests.append(self._store(msgspec.msgpack.encode(request)))
        self.jobs[job_id] = record
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
            reference = self._store(text.encode())
            job.results.append(
                StoredResult(item.item_id, item.state, reference, item.versions, item.score)
            )

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
            job.requests = []
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
    """The submission without what only its runs need.

    Ids and reward calls stay: they decide whether a later job may reuse a result.
    """
    items = [
        msgspec.structs.replace(item, path="", headers={}, body=b"") for item in submission.items
    ]
    return msgspec.structs.replace(submission, items=items)
