"""Reads of delivery logs, held at the leader until their batch is complete.

Samples are handed over only once the batch is complete: until then, samples that exceed the
staleness bound can still be generated again.
"""

from __future__ import annotations

import msgspec

from stileloom.effects import Effect, Send
from stileloom.errors import ErrorKind
from stileloom.ledger.commands import CommandResult, DeliveryPage, HandOver, Refused
from stileloom.ledger.state import LedgerState, RoundState
from stileloom.rollout.messages import DeliveryAnswer, DeliveryRequest

READ_EXPIRY_S = 3.0
"""A pending read expires unless its reader repeats it within this time."""


class HandOverTicket(msgspec.Struct, frozen=True):
    """Identifies the reads that wait for the result of a hand-over."""

    round_name: str


class ProposeHandOver(msgspec.Struct, frozen=True):
    """Effect: propose the command and pass its result to `PendingReads.on_hand_over_result`."""

    ticket: HandOverTicket
    command: HandOver


class _PendingRead(msgspec.Struct):
    reader: str
    request: DeliveryRequest
    received_at: float


class PendingReads:
    """Unanswered reads of all rounds."""

    def __init__(self) -> None:
        self._reads: dict[tuple[str, str], _PendingRead] = {}
        self._proposed: set[str] = set()

    def add_read(
        self, now: float, reader: str, request: DeliveryRequest, state: LedgerState
    ) -> list[Effect]:
        """Registers a read, replacing an earlier read of the same reader and round."""
        round_state = state.rounds.get(request.round_name)
        if round_state is None:
            return [_rejection(reader, request, ErrorKind.UNKNOWN_ROUND)]
        if request.offset < round_state.acknowledged:
            return [_rejection(reader, request, ErrorKind.BAD_REQUEST)]
        key = (reader, request.round_name)
        self._reads[key] = _PendingRead(reader, request, now)
        return []

    def waiting_rounds(self) -> list[str]:
        return sorted({read.request.round_name for read in self._reads.values()})

    def requested_until(self, round_name: str) -> int:
        """Returns the end offset of the pending reads of a round, 0 if there are none."""
        end_offsets = [
            read.request.offset + read.request.count
            for read in self._reads.values()
            if read.request.round_name == round_name
        ]
        return max(end_offsets, default=0)

    def tick(
        self, now: float, state: LedgerState, protected_counts: dict[str, int]
    ) -> list[Effect]:
        """Expires reads and proposes the hand-overs that `_can_hand_over` allows."""
        effects: list[Effect] = []
        for key, read in list(self._reads.items()):
            if now >= read.received_at + READ_EXPIRY_S:
                del self._reads[key]
                continue
            name = read.request.round_name
            round_state = state.rounds.get(name)
            if round_state is None or name in self._proposed:
                continue
            until = read.request.offset + read.request.count
            if _can_hand_over(round_state, until, protected_counts.get(name, 0)):
                self._proposed.add(name)
                ticket = HandOverTicket(name)
                effects.append(ProposeHandOver(ticket, HandOver(name, until)))
        return effects

    def on_hand_over_result(
        self, ticket: HandOverTicket, result: CommandResult | None
    ) -> list[Effect]:
        """Answers the reads completed by a hand-over; `result` is None if it was lost."""
        self._proposed.discard(ticket.round_name)
        effects: list[Effect] = []
        for key, read in list(self._reads.items()):
            request = read.request
            if request.round_name != ticket.round_name:
                continue
            if isinstance(result, Refused):
                del self._reads[key]
                effects.append(_rejection(read.reader, request, result.kind))
                continue
            if not isinstance(result, DeliveryPage):
                continue
            requested = [
                delivery
                for delivery in result.deliveries
                if request.offset <= delivery.offset < request.offset + request.count
            ]
            if len(requested) == request.count:
                del self._reads[key]
                page = DeliveryPage(requested, result.current_version)
                effects.append(Send(read.reader, DeliveryAnswer(request.ticket, page)))
        return effects


def _can_hand_over(state: RoundState, until: int, protected_count: int) -> bool:
    """Whether the samples up to `until` can be handed over.

    The hand-over waits for `protected_count` running generations, which the next version would
    make too old.
    """
    missing = until - state.next_offset
    if missing <= 0:
        return True
    max_age = state.staleness_bound
    if state.open_slots and min(state.open_slots) < state.due_before(until):
        return False
    if len(state.ready) < missing:
        return False
    fresh_enough = sum(1 for s in state.ready.values() if state.age_of(s) <= max_age)
    if fresh_enough < missing:
        return False
    return min(protected_count, missing) == 0


def _rejection(reader: str, request: DeliveryRequest, kind: ErrorKind) -> Effect:
    return Send(reader, DeliveryAnswer(request.ticket, None, kind))
