"""The policies in force, compiled, and how they combine.

Where several policies set the same rule for the same work: the highest `rank` wins for
priority, and among equal ranks the first name in the alphabet. Freshness takes the least
value of all of them, and placement needs every one of them to agree.
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


class RuleOutcome(msgspec.Struct, frozen=True):
    """What one rule of one policy said; for `explain`."""

    policy: str
    rule: str
    value: int | bool


class RuleFailure(msgspec.Struct, frozen=True):
    """A rule that had no value, and how often since it was last told."""

    policy: str
    rule: str
    detail: str
    count: int


FAILED_VALUES: dict[RuleKind, int | bool | None] = {
    RuleKind.PRIORITY: None,
    RuleKind.FRESHNESS: 0,
    RuleKind.PLACEMENT: False,
}
"""What a rule without a value stands for: the request's own priority, and else the strictest."""


class _CompiledPolicy:
    """A policy with its rules compiled."""

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
    """Raises `StileloomError` (POLICY_INVALID) where a policy does not compile."""
    _CompiledPolicy(name, policy)
    try:
        zoneinfo.ZoneInfo(policy.time_zone)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError) as error:
        raise StileloomError(
            ErrorKind.POLICY_INVALID, f"time_zone: no time zone {policy.time_zone!r}"
        ) from error


class PolicyBook:
    """All policies of one configuration revision."""

    def __init__(self, policies: dict[str, Policy]) -> None:
        ordered = sorted(policies, key=lambda name: (-policies[name].rank, name))
        self._failures: dict[tuple[str, RuleKind], RuleFailure] = {}
        self._policies = [_CompiledPolicy(name, policies[name]) for name in ordered]

    def priority(self, inputs: RuleInputs, wall_time_s: float) -> int:
        """The priority of a piece of work, the request's own where no policy speaks."""
        for outcome in self.outcomes(RuleKind.PRIORITY, inputs, wall_time_s):
            return max(MIN_PRIORITY, min(MAX_PRIORITY, int(outcome.value)))
        return inputs.request.priority

    def staleness_bound(self, inputs: RuleInputs, wall_time_s: float) -> int:
        """The staleness bound in versions; policies can only tighten the round's own."""
        values = [
            int(outcome.value) for outcome in self.outcomes(RuleKind.FRESHNESS, inputs, wall_time_s)
        ]
        return max(0, min([inputs.round.staleness_bound, *values]))

    def may_place(self, inputs: RuleInputs, wall_time_s: float) -> bool:
        """Whether every policy lets the pool take the work."""
        outcomes = self.outcomes(RuleKind.PLACEMENT, inputs, wall_time_s)
        return all(bool(outcome.value) for outcome in outcomes)

    def outcomes(self, kind: RuleKind, inputs: RuleInputs, wall_time_s: float) -> list[RuleOutcome]:
        """What each policy says, by rank; a rule that fails counts as in `FAILED_VALUES`."""
        found: list[RuleOutcome] = []
        for compiled in self._policies:
            applies_to = compiled.policy.applies_to
            rule = compiled.rules.get(kind)
            if rule is None or (applies_to and inputs.request.target not in applies_to):
                continue
            timed = msgspec.structs.replace(
                inputs, time=time_input(wall_time_s, compiled.policy.time_zone)
            )
            value: int | bool | None
            try:
                value = rule.evaluate(timed)
            except StileloomError as error:
                self._note_failure(compiled.name, kind, error.detail)
                value = FAILED_VALUES[kind]
            if value is not None:
                found.append(RuleOutcome(compiled.name, kind.value, value))
        return found

    def take_failures(self) -> list[RuleFailure]:
        """Rules that had no value since the last call."""
        failures, self._failures = self._failures, {}
        return list(failures.values())

    def _note_failure(self, policy: str, kind: RuleKind, detail: str) -> None:
        earlier = self._failures.get((policy, kind))
        count = earlier.count + 1 if earlier is not None else 1
        self._failures[(policy, kind)] = RuleFailure(policy, kind.value, detail, count)
