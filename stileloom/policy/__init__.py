"""Policies: operator-defined CEL rules for priority, freshness and placement."""

from stileloom.policy.compiler import CompiledRule, RuleKind, compile_rule
from stileloom.policy.inputs import PoolInput, RequestInput, RoundInput, RuleInputs, TimeInput
from stileloom.policy.registry import PolicyRegistry, RuleResult, check_policy

__all__ = [
    "CompiledRule",
    "PolicyRegistry",
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
