"""A fleet of gateways against a small oracle, in virtual time: how many samplers one request ends.

Hypothesis drives the real record and the real views. Reports and lists are late, lost and repeated;
gateways restart and forget; the ledger is away for a while.
"""

from __future__ import annotations

import random

import hypothesis
import testtools
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from stileloom.quarantine.book import ENDS_ALONE, QuarantineBook
from stileloom.quarantine.messages import SamplerEnd
from stileloom.quarantine.view import QuarantineView

GATEWAYS = 300
POISON = "poison"
POPULAR = "popular"
EVERYBODY = range(GATEWAYS)


class FleetMachine(RuleBasedStateMachine):
    """Arrivals at gateways; the oracle counts samplers that ended once everybody could know."""

    def __init__(self) -> None:
        super().__init__()
        self.book = QuarantineBook()
        self.now = 0.0
        self.views = {number: QuarantineView() for number in EVERYBODY}
        self.reports: list[tuple[int, SamplerEnd]] = []
        self.samplers = 0
        self.ends_after_all_knew = 0
        self.innocents_refused = 0
        self.rng = random.Random(0)

    def next_sampler(self) -> str:
        """A sampler of its own for each end: samplers that end come back under new ids."""
        self.samplers += 1
        return f"sampler-{self.samplers}"

    @rule(gateway=strategies.sampled_from(EVERYBODY))
    def poison_arrives(self, gateway: int) -> None:
        """The poison request runs unless it is held; its sampler ends."""
        view = self.views[gateway]
        if view.is_held(POISON):
            return
        if self.book.is_held(POISON) and not self.reports and self.all_know():
            self.ends_after_all_knew += 1
        end = SamplerEnd(POISON, self.next_sampler())
        view.ended(end)
        self.reports.append((gateway, end))

    @rule(gateway=strategies.sampled_from(EVERYBODY), beside=strategies.booleans())
    def popular_arrives(self, gateway: int, beside: bool) -> None:
        """A popular request is answered, or was on a sampler that ended by itself."""
        view = self.views[gateway]
        if view.is_held(POPULAR):
            self.innocents_refused += 1
            return
        if beside and len(view.ends_under(POPULAR)) < ENDS_ALONE - 1:
            end = SamplerEnd(POPULAR, self.next_sampler())
            view.ended(end)
            self.reports.append((gateway, end))
        if view.answered(POPULAR, self.now):
            self.reports = [item for item in self.reports if item[1].identity != POPULAR]
            self.book.clear([POPULAR])

    @precondition(lambda self: self.reports)
    @rule(times=strategies.integers(1, 2))
    def report_reaches_the_ledger(self, times: int) -> None:
        """The oldest report is recorded, perhaps twice."""
        gateway, end = self.reports.pop(0)
        for _ in range(times):
            self.book.record([end], self.now)
        self.views[gateway].reported([end], self.book.revision)

    @rule(share=strategies.sampled_from([0.01, 0.5, 1.0]))
    def lists_arrive(self, share: float) -> None:
        """Some gateways hear the list; held requests with good answers there are cleared."""
        listing = self.book.listing(self.now)
        for number in self.rng.sample(list(EVERYBODY), max(1, int(GATEWAYS * share))):
            for identity in self.views[number].learn(listing, self.now):
                self.book.clear([identity])

    @rule(gateway=strategies.sampled_from(EVERYBODY))
    def gateway_restarts(self, gateway: int) -> None:
        """It forgets all, and takes the list before it is ready."""
        self.reports = [item for item in self.reports if item[0] != gateway]
        self.views[gateway] = QuarantineView()
        self.views[gateway].learn(self.book.listing(self.now), self.now)

    def all_know(self) -> bool:
        """Whether every gateway has the newest list."""
        return all(view.revision == self.book.revision for view in self.views.values())

    @invariant()
    def nothing_ends_once_everybody_knows(self) -> None:
        """The bound is the fleet's, whatever gateway it arrives at."""
        assert self.ends_after_all_knew == 0

    @invariant()
    def no_gateway_ends_more_than_three_by_itself(self) -> None:
        """Whatever the ledger does, a gateway's own ends hold the request there."""
        own: dict[int, int] = {}
        for gateway, end in self.reports:
            if end.identity == POISON:
                own[gateway] = own.get(gateway, 0) + 1
        assert all(count <= ENDS_ALONE for count in own.values())

    @invariant()
    def nothing_popular_is_refused(self) -> None:
        """One good answer clears."""
        assert self.innocents_refused == 0


class FleetTest(testtools.TestCase):
    """The machine, with the same examples in each run."""

    def test_the_bound_holds_for_three_hundred_gateways(self) -> None:
        hypothesis.stateful.run_state_machine_as_test(
            FleetMachine,
            settings=hypothesis.settings(
                max_examples=40, stateful_step_count=40, derandomize=True, deadline=None
            ),
        )
