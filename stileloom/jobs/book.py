"""The replicated record of batch jobs. Deterministic: no clock, no random numbers."""

from __future__ import annotations

import msgspec

from stileloom.api.jobs import ItemResult, JobItem, JobSubmission, ResultPage

PAGE_BYTES = 900_000


class JobRecord(msgspec.Struct):
    """One job and its results so far."""

    submission: JobSubmission
    results: list[ItemResult] = msgspec.field(default_factory=list)
    listed: set[str] = msgspec.field(default_factory=set)
    ended: bool = False

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
            size += 2 * len(result.text) + 200
            if chosen and size > PAGE_BYTES:
                break
            chosen.append(result)
        return ResultPage(len(self.submission.items), position + len(chosen), chosen)


class JobBook(msgspec.Struct):
    """All jobs by id."""

    jobs: dict[str, JobRecord] = msgspec.field(default_factory=dict)

    def submit(self, submission: JobSubmission) -> bool:
        """Takes a job once; False where it was taken before."""
        if submission.job_id in self.jobs:
            return False
        self.jobs[submission.job_id] = JobRecord(submission)
        return True

    def record(self, job_id: str, results: list[ItemResult]) -> None:
        """Lists results of items that are not listed yet, in the order given."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        known = {item.item_id for item in job.submission.items}
        for result in results:
            if result.item_id in known and result.item_id not in job.listed:
                job.listed.add(result.item_id)
                job.results.append(result)

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
