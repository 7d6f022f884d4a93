"""Batch items under which samplers end: when they may run, and what their runs tell."""

from __future__ import annotations

from collections.abc import Callable

from stileloom.api.sampler_directory import SamplerEntry
from stileloom.background import BackgroundTasks
from stileloom.clock import steady_time
from stileloom.events import LogEvent
from stileloom.jobs.open_items import ItemKey, OpenItem
from stileloom.jobs.scheduler import ItemScheduler
from stileloom.logging import EventLog
from stileloom.quarantine.book import LISTED_FROM
from stileloom.quarantine.guard import BEGAN_LATELY_S, QuarantineGuard
from stileloom.quarantine.identity import identity_of

APART_PAUSE_S = 0.1
"""Until a suspect is looked at again whose sampler runs another one; an end is known sooner."""
HELD_PAUSE_S = 0.5
"""Until a held item is looked at again; the ledger settles within some 0.1 s who is held."""


class SuspectItems:
    """Asked before each run of an item, and told how it ended. One for each leadership."""

    def __init__(
        self,
        guard: QuarantineGuard,
        scheduler: ItemScheduler,
        host_of: Callable[[OpenItem], str],
        tasks: BackgroundTasks,
        log: EventLog,
    ) -> None:
        self._guard = guard
        self._scheduler = scheduler
        self._host_of = host_of
        self._tasks = tasks
        self._log = log
        self._suspect_at: dict[str, ItemKey] = {}
        """The suspect that a sampler runs, or ran last."""

    def allows(self, open_item: OpenItem, sampler_id: str) -> bool:
        """Whether a planned run may begin; it is put off otherwise.

        Suspects run apart from one another. Items of a step start together, so a poison one took
        the others with it each time, and all came to be held: 4 of 10 trials with three items.
        """
        view = self._guard.view
        if view.empty:
            return True
        identity = self._identity(open_item)
        if view.is_held(identity):
            self._hold(open_item, identity)
            return False
        suspected = len(view.ends_under(identity)) >= LISTED_FROM
        if suspected and not self._takes_place(open_item, sampler_id):
            self._put_off(open_item, APART_PAUSE_S, avoid=True)
            return False
        return True

    def broke_off(self, open_item: OpenItem, entry: SamplerEntry, ran_s: float) -> None:
        """Finds out whether the sampler ended under the item; the retry waits longer than that."""
        if ran_s <= BEGAN_LATELY_S:
            self._tasks.spawn(self._judge(open_item, entry, ran_s))

    def answered(self, open_item: OpenItem) -> None:
        """The item's text is whole: nothing is held against it any more."""
        if not self._guard.view.empty:
            self._guard.answered(self._identity(open_item), suspected=False)

    def sampler_gone(self, sampler_id: str) -> None:
        """No suspect runs there any more."""
        self._suspect_at.pop(sampler_id, None)

    def _identity(self, open_item: OpenItem) -> str:
        item = open_item.item
        headers = [("Host", self._host_of(open_item)), *item.headers.items()]
        return identity_of("POST", item.path, headers, item.body)

    async def _judge(self, open_item: OpenItem, entry: SamplerEntry, ran_s: float) -> None:
        identity = self._identity(open_item)
        await self._guard.judge(open_item.item.item_id, identity, entry, ran_s)

    def _takes_place(self, suspect: OpenItem, sampler_id: str) -> bool:
        """Takes the sampler's place for a suspect, unless another one runs there."""
        occupant = self._scheduler.items.get(self._suspect_at.get(sampler_id, suspect.key))
        run = occupant.run if occupant is not None and occupant is not suspect else None
        if run is not None and run.sampler_id == sampler_id:
            return False
        self._suspect_at[sampler_id] = suspect.key
        return True

    def _hold(self, open_item: OpenItem, identity: str) -> None:
        """A held item does not run; it is given up when its time is over, as a job may expect.

        It is looked at again: a good answer, another request's guilt or an operator lifts the hold.
        """
        self._put_off(open_item, HELD_PAUSE_S, avoid=False)
        self._log.emit(
            LogEvent.ITEM_STOPPED,
            {
                "item": open_item.item.item_id,
                "job": open_item.key[0],
                "events": len(open_item.partial.parts),
                "identity": identity,
                "reason": self._guard.refusal(identity).detail,
            },
        )

    def _put_off(self, open_item: OpenItem, pause_s: float, avoid: bool) -> None:
        self._scheduler.run_ended(open_item, avoid=avoid)
        open_item.not_before = steady_time() + pause_s
