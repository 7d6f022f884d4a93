"""Reports how long open items have been without a run, and what they wait for."""

from __future__ import annotations

from stileloom.events import LogEvent
from stileloom.jobs.metrics import JobMetrics
from stileloom.jobs.open_items import ItemKey, OpenItem, WaitReason
from stileloom.jobs.scheduler import ItemScheduler
from stileloom.logging import EventLog

OBSERVATION_PERIOD_S = 0.25
REPORT_PERIOD_S = 1.0
LONG_WAIT_S = 2.0
"""A wait is logged from this duration on. While samplers have free slots, an item starts within a
step of the leader or a backoff, both well below it."""
MAX_EXAMINED_ITEMS = 64
"""Number of items in a report, the longest waits first. The reason of each is searched among all
samplers of its service."""
MAX_LOGGED_ITEMS = 8


class ItemWaits:
    """Waits of the items of one leadership. Times are monotonic seconds."""

    def __init__(self, scheduler: ItemScheduler, log: EventLog, metrics: JobMetrics) -> None:
        self._scheduler = scheduler
        self._log = log
        self._metrics = metrics
        self._waiting_since: dict[ItemKey, float] = {}
        self._next_observation_at = 0.0
        self._next_report_at = 0.0

    def observe(self, now: float) -> None:
        """Updates the waits, and reports those that are long."""
        if now < self._next_observation_at:
            return
        self._next_observation_at = now + OBSERVATION_PERIOD_S
        waiting = [item for item in self._scheduler.items.values() if item.waits_for_run]
        self._waiting_since = {item.key: self._waiting_since.get(item.key, now) for item in waiting}
        longest_s = now - min(self._waiting_since.values(), default=now)
        self._metrics.set_item_waits(len(waiting), longest_s)
        if longest_s >= LONG_WAIT_S and now >= self._next_report_at:
            self._next_report_at = now + REPORT_PERIOD_S
            self._report(waiting, now)

    def _report(self, waiting: list[OpenItem], now: float) -> None:
        """Writes one line for each job and reason."""
        long_waits = [
            item for item in waiting if now - self._waiting_since[item.key] >= LONG_WAIT_S
        ]
        long_waits.sort(key=lambda item: self._waiting_since[item.key])
        groups: dict[tuple[str, WaitReason], list[OpenItem]] = {}
        for item in long_waits[:MAX_EXAMINED_ITEMS]:
            reason = self._scheduler.wait_reason(item, now)
            groups.setdefault((item.key[0], reason), []).append(item)
        for (job_id, reason), items in groups.items():
            self._metrics.item_long_waits.labels(reason.value).inc(len(items))
            self._log.emit(
                LogEvent.ITEMS_WAITING,
                {
                    "job": job_id,
                    "reason": reason.value,
                    "items": [item.item.item_id for item in items[:MAX_LOGGED_ITEMS]],
                    "count": len(items),
                    "longest_ms": round((now - self._waiting_since[items[0].key]) * 1000),
                    "free_slots": self._scheduler.free_slots(items[0].service),
                },
            )
