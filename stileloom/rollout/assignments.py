"""The controller's table of assignments: which sampler generates for which slot."""

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


class AssignmentTable:
    """Assignments by slot, and partial generations waiting to be resumed."""

    def __init__(self) -> None:
        self.completions = 0
        """Number of accepted samples; each frees capacity on a sampler."""
        self.interruptions = 0
        """Number of interrupted, rejected, lost or adopted assignments; each triggers a plan."""
        self._by_round: dict[str, dict[int, Assignment]] = {}
        self._count_by_sampler: dict[str, int] = {}
        self._partials: dict[str, dict[int, PartialGeneration]] = {}

    def for_round(self, round_name: str) -> list[Assignment]:
        return list(self._by_round.get(round_name, {}).values())

    def on_sampler(self, sampler_id: str) -> list[Assignment]:
        return [a for a in self._all() if a.sampler_id == sampler_id]

    def count_on(self, sampler_id: str) -> int:
        return self._count_by_sampler.get(sampler_id, 0)

    def is_assigned(self, round_name: str, slot: int) -> bool:
        return slot in self._by_round.get(round_name, {})

    def _all(self) -> list[Assignment]:
        return [a for slots in self._by_round.values() for a in slots.values()]

    def _get(self, round_name: str, slot: int) -> Assignment | None:
        return self._by_round.get(round_name, {}).get(slot)

    def _drop(self, assignment: Assignment) -> None:
        key = assignment.key
        del self._by_round[key.round_name][key.slot]
        self._count_by_sampler[assignment.sampler_id] -= 1

    def partial(self, round_name: str, slot: int) -> PartialGeneration:
        """Returns the partial generation of a slot, empty if there is none."""
        return self._partials.get(round_name, {}).get(slot, NO_PARTIAL)

    def partial_slots(self, round_name: str) -> list[int]:
        return list(self._partials.get(round_name, {}))

    def drop_partial(self, round_name: str, slot: int) -> int:
        """Discards a partial generation; returns its token count."""
        partial = self._partials.get(round_name, {}).pop(slot, NO_PARTIAL)
        return len(partial.tokens)

    def oldest_versions(self, round_name: str) -> list[int]:
        """Returns the oldest weight version of each generation of a round that has tokens."""
        versions = [a.oldest_version for a in self.for_round(round_name)]
        for slot in self.partial_slots(round_name):
            versions.append(oldest_version(self.partial(round_name, slot).segments))
        return [version for version in versions if version is not None]

    def add(self, assignment: Assignment) -> None:
        """Adds an assignment, replacing that of the same slot, and discards the slot's partial."""
        key = assignment.key
        existing = self._get(key.round_name, key.slot)
        if existing is not None:
            self._drop(existing)
        self._by_round.setdefault(key.round_name, {})[key.slot] = assignment
        count = self._count_by_sampler.get(assignment.sampler_id, 0)
        self._count_by_sampler[assignment.sampler_id] = count + 1
        self.drop_partial(key.round_name, key.slot)

    def record_finished(self, message: GenerationFinished) -> Assignment | None:
        """Removes a finished assignment; the ledger accepted or rejected its sample."""
        if message.accepted:
            self.completions += 1
        else:
            self.interruptions += 1
        return self._remove(message.key)

    def record_interrupted(self, message: GenerationInterrupted) -> Assignment | None:
        """Removes an assignment that ended without a sample; keeps its partial generation."""
        self.interruptions += 1
        assignment = self._remove(message.key)
        if assignment is not None and message.partial.tokens:
            partials = self._partials.setdefault(message.key.round_name, {})
            partials[message.key.slot] = message.partial
        return assignment

    def _remove(self, key: GenerationKey) -> Assignment | None:
        assignment = self._get(key.round_name, key.slot)
        if assignment is None or assignment.key != key:
            return None
        self._drop(assignment)
        return assignment

    def apply_report(
        self, now: float, sender: str, running: list[RunningGeneration], state: LedgerState
    ) -> list[Effect]:
        """Confirms or adopts the generations an owner reports, and stops obsolete ones."""
        effects: list[Effect] = []
        for generation in running:
            key = generation.key
            round_state = state.rounds.get(key.round_name)
            slot = round_state.open_slots.get(key.slot) if round_state is not None else None
            current = self._get(key.round_name, key.slot)
            if slot is None or (current is not None and current.key != key):
                effects.append(Send(sender, StopGeneration(key)))
            elif current is None:
                self.interruptions += 1
                self.add(_adopted(now, sender, generation, slot.prompt))
            else:
                current.confirmed_at = now
                current.stopping = False
                current.known_token_count = generation.token_count
                if generation.oldest_version is not None:
                    current.oldest_version = generation.oldest_version
        return effects

    def drop_closed(self, state: LedgerState) -> None:
        """Drops assignments and partials of slots that are no longer open."""
        for assignment in self._all():
            key = assignment.key
            round_state = state.rounds.get(key.round_name)
            if round_state is None or key.slot not in round_state.open_slots:
                self._drop(assignment)
        for name, partials in self._partials.items():
            round_state = state.rounds.get(name)
            for slot in list(partials):
                if round_state is None or slot not in round_state.open_slots:
                    del partials[slot]

    def drop_lost(self, now: float, is_healthy: Callable[[str], bool]) -> list[Effect]:
        """Drops assignments that their owner has not reported within the timeout."""
        effects: list[Effect] = []
        for assignment in self._all():
            timeout_s = constants.ASSIGNMENT_TIMEOUT_S
            if not is_healthy(assignment.owner):
                timeout_s = constants.SUSPECT_ASSIGNMENT_TIMEOUT_S
            if now >= assignment.confirmed_at + timeout_s:
                self._drop(assignment)
                self.interruptions += 1
                fields: dict[str, object] = {
                    "round": assignment.key.round_name,
                    "slot": assignment.key.slot,
                    "sampler": assignment.sampler_id,
                }
                effects.append(Emit(LogEvent.GENERATION_LOST, fields))
        return effects

    def drop_stale_partials(self, state: RoundState, bound: int) -> int:
        """Discards partials beyond the staleness bound; returns their total token count."""
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
        known_token_count=generation.token_count,
        first_token=generation.token_count,
        oldest_version=generation.oldest_version,
        confirmed_at=now,
    )
