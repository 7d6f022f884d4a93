"""Results that a gateway has read: once listed, a result and its position never change.

Callers read the same positions again and again, at times from the start. What is kept here need
not come from the leader's zone once more.
"""

from __future__ import annotations

import msgspec

from stileloom.api.jobs import ItemResult, ResultPage
from stileloom.jobs.book import PAGE_BYTES, result_size

MAX_BYTES = 12_000_000
"""Kept at one gateway; the jobs that were not read for longest give way."""


class _KeptJob(msgspec.Struct):
    """Results of one job by position."""

    total_items: int = 0
    results: dict[int, ItemResult] = msgspec.field(default_factory=dict)
    size: int = 0


class ResultCache:
    """Results by job and position, up to `MAX_BYTES`."""

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._jobs: dict[str, _KeptJob] = {}
        """The job read last comes last."""
        self._size = 0

    def page(self, job_id: str, position: int) -> ResultPage | None:
        """What follows without a gap from a position on, up to a page; None where nothing does."""
        kept = self._jobs.pop(job_id, None)
        if kept is None:
            return None
        self._jobs[job_id] = kept
        found: list[ItemResult] = []
        size = 0
        while (result := kept.results.get(position + len(found))) is not None:
            size += result_size(result)
            if found and size > PAGE_BYTES:
                break
            found.append(result)
        if not found:
            return None
        return ResultPage(kept.total_items, position + len(found), found)

    def keep(self, job_id: str, position: int, page: ResultPage) -> None:
        """Keeps a page that was read from a position on."""
        kept = self._jobs.pop(job_id, None) or _KeptJob()
        self._jobs[job_id] = kept
        kept.total_items = page.total_items
        for number, result in enumerate(page.results, start=position):
            if number not in kept.results:
                kept.results[number] = result
                kept.size += result_size(result)
                self._size += result_size(result)
        while self._size > self._max_bytes and len(self._jobs) > 1:
            self.forget(next(iter(self._jobs)))

    def forget(self, job_id: str) -> None:
        """The ledger does not know the job any more, or its place is needed."""
        kept = self._jobs.pop(job_id, None)
        if kept is not None:
            self._size -= kept.size


def joined(first: ResultPage | None, rest: ResultPage) -> ResultPage:
    """A page and the one that follows it, as one."""
    if first is None:
        return rest
    return ResultPage(rest.total_items, rest.next_position, [*first.results, *rest.results])


def fills_a_page(page: ResultPage) -> bool:
    """Whether nothing can follow within the size of a page, or nothing is to come."""
    size = sum(map(result_size, page.results))
    return size > PAGE_BYTES * 0.9 or page.next_position >= page.total_items
