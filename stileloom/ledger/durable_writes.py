"""Numbers the writes of a replica and holds back effects until they are durable."""

from __future__ import annotations

import msgspec

from stileloom.effects import Effect
from stileloom.ledger.effects import Persist


class DurableWrites:
    """Writes in the order in which the driver carries them out. Performs no I/O."""

    def __init__(self, last_index: int) -> None:
        self.durable_index = last_index
        """Last index of the log that is durable."""
        self.last_write_id = 0
        self.durable_write_id = 0
        self._last_index_by_write: dict[int, int] = {}
        self._deferred_effects: list[tuple[int, Effect]] = []

    def persist(self, write: Persist, last_index: int, commit_index: int) -> list[Effect]:
        """Returns the write with its id and the commit index filled in."""
        self.last_write_id += 1
        self._last_index_by_write[self.last_write_id] = last_index
        return [
            msgspec.structs.replace(write, write_id=self.last_write_id, commit_index=commit_index)
        ]

    def truncate(self, last_kept: int) -> None:
        """The log is cut after `last_kept`; later entries were never durable."""
        self.durable_index = min(self.durable_index, last_kept)
        for write_id, index in self._last_index_by_write.items():
            self._last_index_by_write[write_id] = min(index, last_kept)

    def when_durable(self, effects: list[Effect]) -> list[Effect]:
        """Defers effects until every write issued so far is durable."""
        if self.durable_write_id >= self.last_write_id:
            return effects
        self._deferred_effects += [(self.last_write_id, effect) for effect in effects]
        return []

    def complete(self, write_id: int) -> list[Effect]:
        """This write and all earlier ones are durable; returns the effects that waited for them."""
        self.durable_write_id = max(self.durable_write_id, write_id)
        for pending in sorted(self._last_index_by_write):
            if pending <= write_id:
                self.durable_index = self._last_index_by_write.pop(pending)
        released = [effect for awaited, effect in self._deferred_effects if awaited <= write_id]
        self._deferred_effects = [
            (awaited, effect) for awaited, effect in self._deferred_effects if awaited > write_id
        ]
        return released
