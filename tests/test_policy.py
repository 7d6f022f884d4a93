"""Tests of policies: validation errors, rule combination, and the documented examples."""

from __future__ import annotations

import re
from pathlib import Path

import testtools

from stileloom.api.objects import Policy
from stileloom.cli.manifests import load_manifests
from stileloom.errors import ErrorKind, StileloomError
from stileloom.policy import (
    PolicyRegistry,
    PoolInput,
    RequestInput,
    RoundInput,
    RuleInputs,
    RuleKind,
    check_policy,
    compile_rule,
)

ROOT = Path(__file__).resolve().parents[1]
NOON_UTC_S = 1_700_049_600.0 + 12 * 3600 - 1_700_049_600.0 % 86_400
"""15 November 2023, 12:00 UTC."""


class FailingRuleTest(testtools.TestCase):
    """A failing rule is rejected on submission and fails closed at run time."""

    def test_rejected_on_submission(self) -> None:
        for source in ("1/0", "[1][5]"):
            error = self.assertRaises(StileloomError, compile_rule, RuleKind.PRIORITY, source)
            self.assertEqual(ErrorKind.POLICY_INVALID, error.kind)

    def test_run_time_failures_fail_closed_and_are_counted(self) -> None:
        failing_source = "10 / (request.max_tokens - 7)"
        policy = Policy(
            priority=failing_source,
            freshness=failing_source,
            placement=f"{failing_source} > -100000",
        )
        registry = PolicyRegistry({"p": policy})
        valid_inputs = RuleInputs()
        self.assertTrue(registry.may_place(valid_inputs, NOON_UTC_S))
        failing_inputs = RuleInputs(
            request=RequestInput(max_tokens=7, priority=33), round=RoundInput(staleness_bound=4)
        )
        self.assertEqual(33, registry.priority(failing_inputs, NOON_UTC_S))
        self.assertEqual(0, registry.staleness_bound(failing_inputs, NOON_UTC_S))
        self.assertFalse(registry.may_place(failing_inputs, NOON_UTC_S))
        self.assertFalse(registry.may_place(failing_inputs, NOON_UTC_S))
        counts = {failure.rule: failure.count for failure in registry.take_failures()}
        self.assertEqual({"priority": 1, "freshness": 1, "placement": 2}, counts)
        self.assertEqual([], registry.take_failures())

    def test_comprehension_can_use_its_bound_variable(self) -> None:
        rule = compile_rule(RuleKind.PLACEMENT, "[1, 2].all(x, x > 0)")
        self.assertTrue(rule.evaluate(RuleInputs()))
        error = self.assertRaises(
            StileloomError, compile_rule, RuleKind.PLACEMENT, "[1].all(x, y > 0)"
        )
        self.assertIn("unknown name 'y'", error.detail)


class CompileTest(testtools.TestCase):
    """Invalid rules are rejected with their location and the expected input."""

    def compile_error_detail(self, kind: RuleKind, source: str) -> str:
        """Returns the detail of the compilation error."""
        error = self.assertRaises(StileloomError, compile_rule, kind, source)
        self.assertEqual(ErrorKind.POLICY_INVALID, error.kind)
        return error.detail

    def test_syntax(self) -> None:
        detail = self.compile_error_detail(RuleKind.PRIORITY, "request.priority +\n  ")
        self.assertIn("priority: line ", detail)
        self.assertIn("column", detail)
        self.assertIn("expecting", detail)

    def test_unknown_names(self) -> None:
        detail = self.compile_error_detail(RuleKind.PLACEMENT, "true &&\n zone == 'a'")
        self.assertIn("line 2, column 2", detail)
        self.assertIn("expected one of request, round, pool, time", detail)
        self.assertIn(
            "unknown field 'size'", self.compile_error_detail(RuleKind.PLACEMENT, "pool.size > 1")
        )

    def test_types(self) -> None:
        self.assertIn("expected bool", self.compile_error_detail(RuleKind.PLACEMENT, "1 + 1"))
        self.assertIn("expected int", self.compile_error_detail(RuleKind.PRIORITY, "true"))
        self.assertIn("overload", self.compile_error_detail(RuleKind.PRIORITY, "1 + 'a'"))

    def test_bounds(self) -> None:
        self.assertIn(
            "characters", self.compile_error_detail(RuleKind.PRIORITY, "1 + " * 400 + "1")
        )
        nested = "[1].all(a, [1].all(b, [1].all(c, true)))"
        self.assertIn("comprehensions", self.compile_error_detail(RuleKind.PLACEMENT, nested))

    def test_time_zones(self) -> None:
        policy = Policy(priority="1", time_zone="Europe/Nowhere")
        error = self.assertRaises(StileloomError, check_policy, "p", policy)
        self.assertIn("time_zone", error.detail)


class CombinationTest(testtools.TestCase):
    """How the rules of several policies combine."""

    def test_priority_is_ordered_by_rank_then_name(self) -> None:
        registry = PolicyRegistry(
            {
                "b": Policy(priority="10"),
                "a": Policy(priority="20"),
                "high": Policy(priority="request.tenant == 'x' ? 900 : 30", rank=1),
            }
        )
        self.assertEqual(30, registry.priority(RuleInputs(), 0.0))
        tenant_x = RuleInputs(request=RequestInput(tenant="x"))
        self.assertEqual(100, registry.priority(tenant_x, 0.0))

    def test_freshness_only_lowers_the_bound(self) -> None:
        registry = PolicyRegistry({"loose": Policy(freshness="9"), "tight": Policy(freshness="1")})
        inputs = RuleInputs(round=RoundInput(staleness_bound=4))
        self.assertEqual(1, registry.staleness_bound(inputs, 0.0))
        loose = PolicyRegistry({"loose": Policy(freshness="9")})
        self.assertEqual(4, loose.staleness_bound(inputs, 0.0))

    def test_placement_requires_all_rules(self) -> None:
        registry = PolicyRegistry(
            {
                "zone": Policy(placement="pool.zone != 'c'"),
                "charts": Policy(placement="pool.name == 'p'", applies_to=["charts"]),
            }
        )
        self.assertFalse(registry.may_place(RuleInputs(pool=PoolInput("p", "c")), 0.0))
        charts_request = RequestInput(target="charts")
        self.assertFalse(
            registry.may_place(RuleInputs(charts_request, pool=PoolInput("q", "a")), 0.0)
        )
        self.assertTrue(registry.may_place(RuleInputs(pool=PoolInput("q", "a")), 0.0))

    def test_rules_use_the_time_zone_of_their_policy(self) -> None:
        source = "time.hour"
        registry = PolicyRegistry({"p": Policy(priority=source, time_zone="America/Costa_Rica")})
        self.assertEqual(6, registry.priority(RuleInputs(), NOON_UTC_S))


class ExampleTest(testtools.TestCase):
    """The published examples are valid."""

    def test_example_manifests_load(self) -> None:
        for name in ("corrib", "cartas"):
            self.assertTrue(load_manifests(ROOT / "examples" / name / "objects.toml"))

    def test_documented_policies_compile(self) -> None:
        documentation = (ROOT / "docs" / "POLICIES.md").read_text()
        rules = re.findall(r"```cel (\w+)\n(.*?)```", documentation, re.DOTALL)
        self.assertGreater(len(rules), 3)
        for kind, source in rules:
            compile_rule(RuleKind(kind), source.strip())
