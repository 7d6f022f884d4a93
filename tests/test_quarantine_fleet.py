"""Property test: samplers crashed by one request across a fleet of gateways, in virtual time.

Hypothesis drives the real registry and views. Reports and listings are delayed, lost and repeated,
gateways restart without state, and the ledger is temporarily unavailable.
"""

from __future__ import annotations

import random

import hypothesis
import testtools
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from stileloom.quarantine.book import CRASH_THRESHOLD, QuarantineRegistry
from stileloom.quarantine.messages import SamplerCrash
from stileloom.quarantine.view import QuarantineView

GATEWAYS = 300
POISON = "poison"
POPULAR = "popular"
GATEWAY_IDS = range(GATEWAYS)


class FleetMachine(RuleBasedStateMachine):
    """Requests that arrive at gateways, and the crashes that they cause."""

    def __init__(self) -> None:
        super().__init__()
        self.registry = QuarantineRegistry()
        self.now = 0.0
        self.views = {number: QuarantineView() for number in GATEWAY_IDS}
        self.reports: list[tuple[int, SamplerCrash]] = []
        self.sampler_count = 0
        self.crashes_with_all_up_to_date = 0
        self.popular_refusals = 0
        self.rng = random.Random(0)

    def new_sampler(self) -> str:
        """A new sampler id, as the replacement of a crashed sampler gets one."""
        self.sampler_count += 1
        return f"sampler-{self.sampler_count}"

    @rule(gateway=strategies.sampled_from(GATEWAY_IDS))
    def poison_arrives(self, gateway: int) -> None:
        """The poison request crashes its sampler unless it is quarantined."""
        view = self.views[gateway]
        if view.is_quarantined(POISON):
            return
        if self.registry.is_quarantined(POISON) and not self.reports and self.all_up_to_date():
            self.crashes_with_all_up_to_date += 1
        crash = SamplerCrash(POISON, self.new_sampler())
        view.record_crash(crash)
        self.reports.append((gateway, crash))

    @rule(gateway=strategies.sampled_from(GATEWAY_IDS), coincidental_crash=strategies.booleans())
    def popular_arrives(self, gateway: int, coincidental_crash: bool) -> None:
        """A popular request succeeds, perhaps after a coincidental crash of its sampler."""
        view = self.views[gateway]
        if view.is_quarantined(POPULAR):
            self.popular_refusals += 1
            return
        if coincidental_crash and len(view.crashed_samplers(POPULAR)) < CRASH_THRESHOLD - 1:
            crash = SamplerCrash(POPULAR, self.new_sampler())
            view.record_crash(crash)
            self.reports.append((gateway, crash))
        if view.record_success(POPULAR, self.now):
            self.reports = [item for item in self.reports if item[1].identity != POPULAR]
            self.registry.clear([POPULAR])

    @precondition(lambda self: self.reports)
    @rule(times=strategies.integers(1, 2))
    def report_is_recorded(self, times: int) -> None:
        """The oldest report is recorded, perhaps twice."""
        gateway, crash = self.reports.pop(0)
        for _ in range(times):
            self.registry.record([crash], self.now)
        self.views[gateway].mark_reported([crash], self.registry.revision)

    @rule(share=strategies.sampled_from([0.01, 0.5, 1.0]))
    def listings_arrive(self, share: float) -> None:
        """Some gateways receive the listing and clear quarantined requests that succeeded there."""
        listing = self.registry.listing(self.now)
        for number in self.rng.sample(list(GATEWAY_IDS), max(1, int(GATEWAYS * share))):
            for identity in self.views[number].apply_listing(listing, self.now):
                self.registry.clear([identity])

    @rule(gateway=strategies.sampled_from(GATEWAY_IDS))
    def gateway_restarts(self, gateway: int) -> None:
        """A restarted gateway loses its state and applies the listing before it is ready."""
        self.reports = [item for item in self.reports if item[0] != gateway]
        self.views[gateway] = QuarantineView()
        self.views[gateway].apply_listing(self.registry.listing(self.now), self.now)

    def all_up_to_date(self) -> bool:
        """Whether every gateway has the latest listing."""
        return all(view.revision == self.registry.revision for view in self.views.values())

    @invariant()
    def no_crash_once_all_gateways_have_the_listing(self) -> None:
        """A quarantined request causes no crash at any gateway once all have the listing."""
        assert self.crashes_with_all_up_to_date == 0

    @invariant()
    def no_gateway_causes_more_than_three_crashes_by_itself(self) -> None:
        """A gateway's own crashes quarantine the request there before they are reported."""
        unreported: dict[int, int] = {}
        for gateway, crash in self.reports:
            if crash.identity == POISON:
                unreported[gateway] = unreported.get(gateway, 0) + 1
        assert all(count <= CRASH_THRESHOLD for count in unreported.values())

    @invariant()
    def popular_requests_are_not_refused(self) -> None:
        """One successful response clears a request."""
        assert self.popular_refusals == 0


class FleetTest(testtools.TestCase):
    """Runs the state machine with reproducible examples."""

    def test_the_bound_holds_for_three_hundred_gateways(self) -> None:
        hypothesis.stateful.run_state_machine_as_test(
            FleetMachine,
            settings=hypothesis.settings(
                max_examples=40, stateful_step_count=40, derandomize=True, deadline=None
            ),
        )
