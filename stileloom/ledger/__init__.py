"""Replicated, durable log and state machine for rounds, jobs, keys and leadership."""

from stileloom.ledger.client import CommandFinished, LedgerClient
from stileloom.ledger.effects import Applied, Dropped, Persist
from stileloom.ledger.recovered import RecoveredLedger, empty_ledger
from stileloom.ledger.replica import LedgerReplica, ReplicaRole
from stileloom.ledger.state import LedgerState

__all__ = [
    "Applied",
    "CommandFinished",
    "Dropped",
    "LedgerClient",
    "LedgerReplica",
    "LedgerState",
    "Persist",
    "RecoveredLedger",
    "ReplicaRole",
    "empty_ledger",
]
