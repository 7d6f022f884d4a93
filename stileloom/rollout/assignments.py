"""The controller's table of assignments: what runs where, adopted, lost or interrupted."""

from __future__ import annotations

from collections.abc import Callable

from stileloom import constants
from stileloom.api.samples import Prompt, oldest_version
from stileloom.effects import Effect, Emit, Send
from stileloom.events import LogEvent
from stileloom.ledger.state import LedgerState, RoundState
from stileloom.rollout.work import NO_PARTIAL, Assignment
from stileloom.samplers.messages import (
    GenerationFinished,
    GenerationInterrupted,
    GenerationKey,
    PartialGeneration,
    RunningGeneration,
    StopGeneration,
)

SlotId = tuple[str, int]


class AssignmentTable:
    """Assignments by slot, and the partial generations that wait to be resumed."""

    def __init__(self) -> None:
        self.ends = 0
        """Raised whenever an assignment has its sample: there is room on a sampler."""
        self.interruptions = 0
        """Raised whenever a slot may have to be started again, or was adopted."""
        self._by_slot: dict[SlotId, Assignment] = {}
        self._partials: dict[SlotId, PartialGeneration] = {}

    def of_round(self, round_name: str) -> list[Assignment]:
        """The assignments of a round."""
        return [a for a in self._by_slot.values() if a.key.round_name == round_name]

    def on_sampler(self, sampler_id: str) -> list[Assignment]:
        """The assignments on a sampler."""
        return [a for a in self._by_slot.values() if a.sampler_id == sampler_id]

    def count_by_sampler(self) -> dict[str, int]:
        """Assignments by sampler."""
        counts: dict[str, int] = {}
        for assignment in self._by_slot.values():
            counts[assignment.sampler_id] = counts.get(assignment.sampler_id, 0) + 1
        return counts

    def is_assigned(self, round_name: str, slot: int) -> bool:
        """Whether somebody generates for a slot."""
        return (round_name, slot) in self._by_slot

    def partial(self, round_name: str, slot: int) -> PartialGeneration:
        """What an earlier attempt left of a slot."""
        return self._partials.get((round_name, slot), NO_PARTIAL)

    def partial_slots(self, round_name: str) -> list[int]:
        """Slots of a round that have a partial generation."""
        return [slot for name, slot in self._partials if name == round_name]

    def drop_partial(self, round_name: str, slot: int) -> int:
        """Forgets a partial; returns the tokens given up."""
        partial = self._partials.pop((round_name, slot), NO_PARTIAL)
        return len(partial.tokens)

    def oldest_versions(self, round_name: str) -> list[int]:
        """The oldest version in each generation of a round that has tokens."""
        versions = [a.oldest_version for a in self.of_round(round_name)]
        for slot in self.partial_slots(round_name):
            versions.append(oldest_version(self.partial(round_name, slot).segments))
        return [version for version in versions if version is not None]

    def add(self, assignment: Assignment) -> None:
        """Somebody generates for a slot from now on."""
        slot_id = (assignment.key.round_name, assignment.key.slot)
        self._by_slot[slot_id] = assignment
        self._partials.pop(slot_id, None)

    def finished(self, message: GenerationFinished) -> Assignment | None:
        """The ledger has answered an attempt's sample."""
        if message.accepted:
            self.ends += 1
        else:
            self.interruptions += 1
        return self._remove(message.key)

    def interrupted(self, message: GenerationInterrupted) -> Assignment | None:
        """An attempt ended without a sample; what counts of it is kept."""
        self.interruptions += 1
        assignment = self._remove(message.key)
        if assignment is not None and message.partial.tokens:
            slot_id = (message.key.round_name, message.key.slot)
            self._partials[slot_id] = message.partial
        return assignment

    def _remove(self, key: GenerationKey) -> Assignment | None:
        slot_id = (key.round_name, key.slot)
        assignment = self._by_slot.get(slot_id)
        if assignment is None or assignment.key != key:
            return None
        del self._by_slot[slot_id]
        return assignment

    def reported(
        self, now: float, sender: str, running: list[RunningGeneration], state: LedgerState
    ) -> list[Effect]:
        """An owner reported what it runs: confirms, adopts, or stops."""
        effects: list[Effect] = []
        for generation in running:
            key = generation.key
            round_state = state.rounds.get(key.round_name)
            slot = round_state.open_slots.get(key.slot) if round_state is not None else None
            known = self._by_slot.get((key.round_name, key.slot))
            if slot is None or (known is not None and known.key != key):
                effects.append(Send(sender, StopGeneration(key)))
            elif known is None:
                self.interruptions += 1
                self.add(_adopted(now, sender, generation, slot.prompt))
            else:
                known.confirmed_at = now
                known.stopping = False
                known.tokens_at_start = generation.token_count
                if generation.oldest_version is not None:
                    known.oldest_version = generation.oldest_version
        return effects

    def drop_closed(self, state: LedgerState) -> None:
        """Forgets slots that have their sample."""
        for name, slot in list(self._by_slot):
            round_state = state.rounds.get(name)
            if round_state is None or slot not in round_state.open_slots:
                del self._by_slot[(name, slot)]
        for name, slot in list(self._partials):
            round_state = state.rounds.get(name)
            if round_state is None or slot not in round_state.open_slots:
                del self._partials[(name, slot)]

    def drop_lost(self, now: float, is_working: Callable[[str], bool]) -> list[Effect]:
        """Forgets assignments that their owner has not reported for too long."""
        effects: list[Effect] = []
        for slot_id, assignment in list(self._by_slot.items()):
            silence_s = constants.ASSIGNMENT_LOST_S
            if not is_working(assignment.owner):
                silence_s = constants.ASSIGNMENT_LOST_SUSPECT_S
            if now >= assignment.confirmed_at + silence_s:
                del self._by_slot[slot_id]
                self.interruptions += 1
                fields: dict[str, object] = {
                    "round": slot_id[0],
                    "slot": slot_id[1],
                    "sampler": assignment.sampler_id,
                }
                effects.append(Emit(LogEvent.GENERATION_LOST, fields))
        return effects

    def drop_over_age_partials(self, state: RoundState, bound: int) -> int:
        """Forgets partials that could never be committed; returns the tokens given up."""
        dropped = 0
        for slot in self.partial_slots(state.name):
            segments = self.partial(state.name, slot).segments
            oldest = min(segment.weight_version for segment in segments)
            if state.version - oldest > bound:
                dropped += self.drop_partial(state.name, slot)
        return dropped


def _adopted(now: float, owner: str, generation: RunningGeneration, prompt: Prompt) -> Assignment:
    return Assignment(
        key=generation.key,
        prompt=prompt,
        sampler_id=generation.sampler_id,
        owner=owner,
        started_at=now,
        tokens_at_start=generation.token_count,
        first_token=generation.token_count,
        oldest_version=generation.oldest_version,
        confirmed_at=now,
    )
