"""Compiled policies of a configuration revision, and how their rules combine.

If several policies define the same rule for a request: priority takes the value of the highest
`rank`, then of the first name in alphabetical order; freshness takes the minimum; placement
requires all rules to be true.
"""

from __future__ import annotations

import zoneinfo

import msgspec

from stileloom.api.objects import Policy
from stileloom.errors import ErrorKind, StileloomError
from stileloom.policy.compiler import RuleKind, compile_rule
from stileloom.policy.inputs import RuleInputs, time_input

MIN_PRIORITY = 0
MAX_PRIORITY = 100


class RuleResult(msgspec.Struct, frozen=True):
    """The value of one rule of one policy, as shown by `explain`."""

    policy: str
    rule: str
    value: int | bool


class RuleFailure(msgspec.Struct, frozen=True):
    """A rule whose evaluation failed, and the number of failures since the last report."""

    policy: str
    rule: str
    detail: str
    count: int


FALLBACK_VALUES: dict[RuleKind, int | bool | None] = {
    RuleKind.PRIORITY: None,
    RuleKind.FRESHNESS: 0,
    RuleKind.PLACEMENT: False,
}
"""Values of rules that fail: the request's own priority (None), or the strictest value."""


class _CompiledPolicy:
    """A policy and its compiled rules."""

    def __init__(self, name: str, policy: Policy) -> None:
        self.name = name
        self.policy = policy
        self.rules = {
            kind: compile_rule(kind, source)
            for kind, source in (
                (RuleKind.PRIORITY, policy.priority),
                (RuleKind.FRESHNESS, policy.freshness),
                (RuleKind.PLACEMENT, policy.placement),
            )
            if source
        }


def check_policy(name: str, policy: Policy) -> None:
    """Raises `StileloomError` (POLICY_INVALID) if a policy is invalid."""
    _CompiledPolicy(name, policy)
    try:
        zoneinfo.ZoneInfo(policy.time_zone)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError) as error:
        raise StileloomError(
            ErrorKind.POLICY_INVALID, f"time_zone: unknown time zone {policy.time_zone!r}"
        ) from error


class PolicyRegistry:
    """All compiled policies of one configuration revision."""

    def __init__(self, policies: dict[str, Policy]) -> None:
        ordered = sorted(policies, key=lambda name: (-policies[name].rank, name))
        self._failures: dict[tuple[str, RuleKind], RuleFailure] = {}
        self._policies = [_CompiledPolicy(name, policies[name]) for name in ordered]

    def priority(self, inputs: RuleInputs, wall_time_s: float) -> int:
        """Returns the priority of a request, by default its own."""
        for result in self.rule_results(RuleKind.PRIORITY, inputs, wall_time_s):
            return max(MIN_PRIORITY, min(MAX_PRIORITY, int(result.value)))
        return inputs.request.priority

    def staleness_bound(self, inputs: RuleInputs, wall_time_s: float) -> int:
        """Returns the staleness bound in versions; policies can only lower that of the round."""
        values = [
            int(result.value)
            for result in self.rule_results(RuleKind.FRESHNESS, inputs, wall_time_s)
        ]
        return max(0, min([inputs.round.staleness_bound, *values]))

    def may_place(self, inputs: RuleInputs, wall_time_s: float) -> bool:
        """Whether all policies allow the placement on the pool."""
        rule_results = self.rule_results(RuleKind.PLACEMENT, inputs, wall_time_s)
        return all(bool(result.value) for result in rule_results)

    def rule_results(
        self, kind: RuleKind, inputs: RuleInputs, wall_time_s: float
    ) -> list[RuleResult]:
        """Returns the value of each applicable rule by rank, with `FALLBACK_VALUES` on failure."""
        rule_results: list[RuleResult] = []
        for compiled in self._policies:
            applies_to = compiled.policy.applies_to
            rule = compiled.rules.get(kind)
            if rule is None or (applies_to and inputs.request.target not in applies_to):
                continue
            timed_inputs = msgspec.structs.replace(
                inputs, time=time_input(wall_time_s, compiled.policy.time_zone)
            )
            value: int | bool | None
            try:
                value = rule.evaluate(timed_inputs)
            except StileloomError as error:
                self._record_failure(compiled.name, kind, error.detail)
                value = FALLBACK_VALUES[kind]
            if value is not None:
                rule_results.append(RuleResult(compiled.name, kind.value, value))
        return rule_results

    def take_failures(self) -> list[RuleFailure]:
        """Returns and clears the rule failures since the last call."""
        failures, self._failures = self._failures, {}
        return list(failures.values())

    def _record_failure(self, policy: str, kind: RuleKind, detail: str) -> None:
        previous = self._failures.get((policy, kind))
        count = previous.count + 1 if previous is not None else 1
        self._failures[(policy, kind)] = RuleFailure(policy, kind.value, detail, count)
