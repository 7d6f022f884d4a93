"""Sends a node's commands to the ledger's leader and retries them until a result arrives.

Commands are idempotent, so a retry after a lost result is safe.
"""

from __future__ import annotations

import msgspec

from stileloom import constants
from stileloom.effects import Effect, Send
from stileloom.ledger.commands import Command, CommandResult
from stileloom.ledger.leader_tracker import LeaderTracker
from stileloom.ledger.messages import CommandAnswer, CommandForward


class CommandFinished(msgspec.Struct, frozen=True):
    """The result of a command; None if it timed out."""

    ticket: int
    result: CommandResult | None


class _Pending(msgspec.Struct):
    """A command whose result is pending."""

    command: Command
    deadline_at: float
    retry_at: float
    sent_to: str = ""


class LedgerClient:
    """The pending commands of this node."""

    def __init__(self, tracker: LeaderTracker, first_ticket: int = 1) -> None:
        self._tracker = tracker
        self._pending: dict[int, _Pending] = {}
        self._next_ticket = first_ticket

    def submit(
        self, now: float, command: Command, timeout_s: float = constants.COMMAND_TIMEOUT_S
    ) -> tuple[int, list[Effect]]:
        """Sends a command; `CommandFinished` with the returned ticket follows."""
        ticket = self._next_ticket
        self._next_ticket += 1
        self._pending[ticket] = _Pending(command, now + timeout_s, now)
        return ticket, self._send(now, ticket)

    def tick(self, now: float) -> list[Effect]:
        """Retries unanswered commands and ends those that timed out."""
        effects: list[Effect] = []
        for ticket, pending in list(self._pending.items()):
            if now >= pending.deadline_at:
                del self._pending[ticket]
                effects.append(CommandFinished(ticket, None))
            elif now >= pending.retry_at:
                self._tracker.mark_unresponsive(pending.sent_to)
                effects += self._send(now, ticket)
        return effects

    def handle(self, now: float, sender: str, message: CommandAnswer) -> list[Effect]:
        """Handles a result from the leader, or a hint at the current leader."""
        if message.result is not None:
            if self._pending.pop(message.ticket, None) is None:
                return []
            return [CommandFinished(message.ticket, message.result)]
        pending = self._pending.get(message.ticket)
        if pending is None or message.leader in ("", sender, pending.sent_to):
            return []
        return self._send_to(now, message.ticket, message.leader)

    def _send(self, now: float, ticket: int) -> list[Effect]:
        target = self._tracker.next_target(now)
        if target is None:
            self._pending[ticket].retry_at = now + constants.COMMAND_RETRY_INTERVAL_S
            return []
        return self._send_to(now, ticket, target)

    def _send_to(self, now: float, ticket: int, target: str) -> list[Effect]:
        pending = self._pending[ticket]
        pending.retry_at = now + constants.COMMAND_RETRY_INTERVAL_S
        pending.sent_to = target
        return [Send(target, CommandForward(ticket, pending.command))]
