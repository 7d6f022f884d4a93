"""Policies: operator-defined CEL rules for priority, freshness and placement."""

from stileloom.policy.book import PolicyBook, RuleResult, check_policy
from stileloom.policy.compiler import CompiledRule, RuleKind, compile_rule
from stileloom.policy.inputs import PoolInput, RequestInput, RoundInput, RuleInputs, TimeInput

__all__ = [
    "CompiledRule",
    "PolicyBook",
    "PoolInput",
    "RequestInput",
    "RoundInput",
    "RuleInputs",
    "RuleKind",
    "RuleResult",
    "TimeInput",
    "check_policy",
    "compile_rule",
]
