"""Ledger interface of the components that run on the leader."""

from __future__ import annotations

from typing import Protocol

from stileloom.ledger.commands import Command, CommandResult


class LeaderLedger(Protocol):
    """Commits commands during one leadership."""

    def is_active_leader(self) -> bool:
        """Whether this replica is the leader and holds its lease."""

    async def propose(self, command: Command) -> CommandResult:
        """Commits a command. Raises `StileloomError` (LEDGER_UNAVAILABLE)."""
