"""The ledger as the parts of a leader see it."""

from __future__ import annotations

from typing import Protocol

from stileloom.ledger.commands import Command, CommandResult


class LeaderLedger(Protocol):
    """Commits commands of one leadership."""

    def may_act(self) -> bool:
        """Whether this replica leads and holds its lease now."""

    async def propose(self, command: Command) -> CommandResult:
        """Commits a command. Raises `StileloomError` (LEDGER_UNAVAILABLE)."""
