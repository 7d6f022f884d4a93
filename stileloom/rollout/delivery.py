"""Reads of delivery logs that wait at the leader until their batch is whole.

Samples are handed over as late as possible: only once a whole batch is there. Until then
they can still be reopened if they grow over-age.
"""

from __future__ import annotations

import msgspec

from stileloom.effects import Effect, Send
from stileloom.errors import ErrorKind
from stileloom.ledger.commands import CommandResult, DeliveryPage, HandOver, Refused
from stileloom.ledger.state import LedgerState, RoundState
from stileloom.rollout.messages import DeliveryAnswer, DeliveryRequest

REQUEST_FORGOTTEN_S = 3.0
"""A read that was not asked again for this long has no reader any more."""


class HandOverTicket(msgspec.Struct, frozen=True):
    """Ties the result of a hand-over to the reads that wait for it."""

    round_name: str


class ProposeHandOver(msgspec.Struct, frozen=True):
    """Propose this command; answer with `DeliveryDesk.handed_over`."""

    ticket: HandOverTicket
    command: HandOver


class _WaitingRead(msgspec.Struct):
    """A read that is not answered yet."""

    reader: str
    request: DeliveryRequest
    heard_at: float


class DeliveryDesk:
    """The waiting reads of all rounds."""

    def __init__(self) -> None:
        self._waiting: dict[tuple[str, str], _WaitingRead] = {}
        self._proposed: set[str] = set()

    def request(
        self, now: float, reader: str, request: DeliveryRequest, state: LedgerState
    ) -> list[Effect]:
        """Takes a read. A repeat of a read replaces it."""
        round_state = state.rounds.get(request.round_name)
        if round_state is None:
            return [_refuse(reader, request, ErrorKind.UNKNOWN_ROUND)]
        if request.offset < round_state.acknowledged:
            return [_refuse(reader, request, ErrorKind.BAD_REQUEST)]
        key = (reader, request.round_name)
        self._waiting[key] = _WaitingRead(reader, request, now)
        return []

    def waiting_rounds(self) -> list[str]:
        """Rounds that somebody waits for."""
        return sorted({read.request.round_name for read in self._waiting.values()})

    def wanted_until(self, round_name: str) -> int:
        """The offset up to which somebody waits for deliveries of a round."""
        waiting = [
            read.request.offset + read.request.count
            for read in self._waiting.values()
            if read.request.round_name == round_name
        ]
        return max(waiting, default=0)

    def tick(self, now: float, state: LedgerState, reserved: dict[str, int]) -> list[Effect]:
        """Proposes the hand-overs that are due. `reserved` is by round."""
        effects: list[Effect] = []
        for key, waiting in list(self._waiting.items()):
            if now >= waiting.heard_at + REQUEST_FORGOTTEN_S:
                del self._waiting[key]
                continue
            name = waiting.request.round_name
            round_state = state.rounds.get(name)
            if round_state is None or name in self._proposed:
                continue
            until = waiting.request.offset + waiting.request.count
            if _can_reach(round_state, until, reserved.get(name, 0)):
                self._proposed.add(name)
                ticket = HandOverTicket(name)
                effects.append(ProposeHandOver(ticket, HandOver(name, until)))
        return effects

    def handed_over(self, ticket: HandOverTicket, result: CommandResult | None) -> list[Effect]:
        """A hand-over was committed (or lost, None): answers the reads that are whole now."""
        self._proposed.discard(ticket.round_name)
        effects: list[Effect] = []
        for key, waiting in list(self._waiting.items()):
            request = waiting.request
            if request.round_name != ticket.round_name:
                continue
            if isinstance(result, Refused):
                del self._waiting[key]
                effects.append(_refuse(waiting.reader, request, result.kind))
                continue
            if not isinstance(result, DeliveryPage):
                continue
            wanted = [
                delivery
                for delivery in result.deliveries
                if request.offset <= delivery.offset < request.offset + request.count
            ]
            if len(wanted) == request.count:
                del self._waiting[key]
                page = DeliveryPage(wanted, result.current_version)
                effects.append(Send(waiting.reader, DeliveryAnswer(request.ticket, page)))
        return effects


def _can_reach(state: RoundState, until: int, reserved: int) -> bool:
    """Whether a hand-over up to `until` is whole, with room kept for `reserved` samples.

    Reserved are generations under way that belong to this batch, since the next version
    would make them too old; they wait for their place as long as the batch has one.
    """
    missing = until - state.next_offset
    if missing <= 0:
        return True
    oldest_allowed = state.staleness_bound
    if state.open_slots and min(state.open_slots) < state.due_before(until):
        return False
    if len(state.ready) < missing:
        return False
    young_enough = sum(1 for s in state.ready.values() if state.age_of(s) <= oldest_allowed)
    if young_enough < missing:
        return False
    return min(reserved, missing) == 0


def _refuse(reader: str, request: DeliveryRequest, kind: ErrorKind) -> Effect:
    return Send(reader, DeliveryAnswer(request.ticket, None, kind))
