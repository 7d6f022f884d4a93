"""Isolates batch items that are suspected of crashing samplers, and reports their outcomes."""

from __future__ import annotations

from collections.abc import Callable

from stileloom.api.sampler_directory import SamplerEntry
from stileloom.background import BackgroundTasks
from stileloom.clock import steady_time
from stileloom.jobs.open_items import ItemKey, OpenItem, WaitReason
from stileloom.jobs.scheduler import ItemScheduler
from stileloom.quarantine.book import MIN_PUBLISHED_CRASHES
from stileloom.quarantine.guard import CRASH_ATTRIBUTION_WINDOW_S, QuarantineGuard
from stileloom.quarantine.identity import identity_of

ISOLATION_RETRY_S = 0.1
"""Delay before a suspect is retried if its sampler runs another suspect."""
QUARANTINE_CHECK_INTERVAL_S = 0.5
"""Delay before the quarantine of an item is checked again. The ledger settles within some 0.1 s
which requests are quarantined."""


class SuspectItems:
    """Decides whether suspected items may start. One instance per leadership."""

    def __init__(
        self,
        guard: QuarantineGuard,
        scheduler: ItemScheduler,
        host_of: Callable[[OpenItem], str],
        tasks: BackgroundTasks,
    ) -> None:
        self._guard = guard
        self._scheduler = scheduler
        self._host_of = host_of
        self._tasks = tasks
        self._suspect_by_sampler: dict[str, ItemKey] = {}
        """The suspect that runs on a sampler, or ran there last."""

    def may_start(self, open_item: OpenItem, sampler_id: str) -> bool:
        """Whether a planned run may start; it is postponed otherwise.

        A sampler runs at most one suspect at a time. Otherwise each crash would count against all
        suspects on the sampler, and items that cause no crash would be quarantined too.
        """
        view = self._guard.view
        if view.has_no_suspects:
            return True
        identity = self._identity(open_item)
        if view.is_quarantined(identity):
            # Checked again because a complete answer, evidence against another request or an
            # operator may lift the quarantine. The item is given up at its deadline.
            self._postpone(open_item, QUARANTINE_CHECK_INTERVAL_S, WaitReason.QUARANTINED)
            return False
        suspected = len(view.crashed_samplers(identity)) >= MIN_PUBLISHED_CRASHES
        if suspected and not self._reserve_sampler(open_item, sampler_id):
            self._postpone(open_item, ISOLATION_RETRY_S, WaitReason.ISOLATED)
            return False
        return True

    def on_run_broken(
        self, open_item: OpenItem, entry: SamplerEntry, run_duration_s: float
    ) -> None:
        """Checks whether the sampler crashed shortly after the run of the item started."""
        if run_duration_s <= CRASH_ATTRIBUTION_WINDOW_S:
            self._tasks.spawn(self._check_for_crash(open_item, entry, run_duration_s))

    def on_complete_text(self, open_item: OpenItem) -> None:
        """Reports a complete text, which clears the item of suspicion."""
        if not self._guard.view.has_no_suspects:
            self._guard.record_success(self._identity(open_item), suspected=False)

    def remove_sampler(self, sampler_id: str) -> None:
        """Releases the sampler's suspect."""
        self._suspect_by_sampler.pop(sampler_id, None)

    def _identity(self, open_item: OpenItem) -> str:
        item = open_item.item
        headers = [("Host", self._host_of(open_item)), *item.headers.items()]
        return identity_of("POST", item.path, headers, item.body, open_item.tenant)

    async def _check_for_crash(
        self, open_item: OpenItem, entry: SamplerEntry, run_duration_s: float
    ) -> None:
        identity = self._identity(open_item)
        await self._guard.probe_sampler(open_item.item.item_id, identity, entry, run_duration_s)

    def _reserve_sampler(self, suspect: OpenItem, sampler_id: str) -> bool:
        """Reserves a sampler for a suspect, unless another suspect runs there."""
        current = self._scheduler.items.get(self._suspect_by_sampler.get(sampler_id, suspect.key))
        run = current.run if current is not None and current is not suspect else None
        if run is not None and run.sampler_id == sampler_id:
            return False
        self._suspect_by_sampler[sampler_id] = suspect.key
        return True

    def _postpone(self, open_item: OpenItem, delay_s: float, reason: WaitReason) -> None:
        self._scheduler.end_run(open_item, avoid=reason is WaitReason.ISOLATED)
        open_item.not_before = steady_time() + delay_s
        open_item.delay_reason = reason
