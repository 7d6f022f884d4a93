"""Cache of the job results that a gateway has read from the leader.

Listed results and their positions never change, so repeated reads need no call to the leader,
which may be in another zone.
"""

from __future__ import annotations

import msgspec

from stileloom.api.jobs import ItemResult, ResultPage
from stileloom.jobs.registry import PAGE_BYTES, result_size

MAX_BYTES = 12_000_000
"""Maximum size per gateway; least recently read jobs are evicted first."""


class _CachedJob(msgspec.Struct):
    """Cached results of one job by position."""

    total_items: int = 0
    results: dict[int, ItemResult] = msgspec.field(default_factory=dict)
    size: int = 0


class ResultCache:
    """LRU cache of results by job and position."""

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._jobs: dict[str, _CachedJob] = {}
        """Ordered by last access, most recent last."""
        self._size = 0

    def page(self, job_id: str, position: int) -> ResultPage | None:
        """Returns contiguous results from a position, at most one page; None if there are none."""
        cached = self._jobs.pop(job_id, None)
        if cached is None:
            return None
        self._jobs[job_id] = cached
        found: list[ItemResult] = []
        size = 0
        while (result := cached.results.get(position + len(found))) is not None:
            size += result_size(result)
            if found and size > PAGE_BYTES:
                break
            found.append(result)
        if not found:
            return None
        return ResultPage(cached.total_items, position + len(found), found)

    def put(self, job_id: str, position: int, page: ResultPage) -> None:
        """Adds a page that was read from a position."""
        cached = self._jobs.pop(job_id, None) or _CachedJob()
        self._jobs[job_id] = cached
        cached.total_items = page.total_items
        for result_position, result in enumerate(page.results, start=position):
            if result_position not in cached.results:
                cached.results[result_position] = result
                cached.size += result_size(result)
                self._size += result_size(result)
        while self._size > self._max_bytes and len(self._jobs) > 1:
            self.remove(next(iter(self._jobs)))

    def remove(self, job_id: str) -> None:
        """Removes a job that was evicted or no longer exists."""
        cached = self._jobs.pop(job_id, None)
        if cached is not None:
            self._size -= cached.size


def concatenate(first: ResultPage | None, rest: ResultPage) -> ResultPage:
    """Concatenates a page and the one that follows it."""
    if first is None:
        return rest
    return ResultPage(rest.total_items, rest.next_position, [*first.results, *rest.results])


def is_full_or_last(page: ResultPage) -> bool:
    """Whether the page is nearly full or contains the last result of the job."""
    size = sum(map(result_size, page.results))
    return size > PAGE_BYTES * 0.9 or page.next_position >= page.total_items
