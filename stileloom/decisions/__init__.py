"""Records of recent decisions: why a request waited, ran where it ran, or was refused."""

from stileloom.decisions.log import NO_DECISIONS, DecisionLog, DecisionRecorder
from stileloom.decisions.lookup import LookupDecision, candidate_load
from stileloom.decisions.records import CandidateLoad, DecisionKind, DecisionRecord

__all__ = [
    "NO_DECISIONS",
    "CandidateLoad",
    "DecisionKind",
    "DecisionLog",
    "DecisionRecord",
    "DecisionRecorder",
    "LookupDecision",
    "candidate_load",
]
