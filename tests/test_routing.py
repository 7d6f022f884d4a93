"""The gateway's core: admission, queue, limits, retries, outcomes."""

from __future__ import annotations

import random

import testtools

from stileloom.api.engine import CancelState, EngineState, StreamChunk, StreamEnd
from stileloom.api.objects import Configuration, Machine, Pool, SamplerRole, Service
from stileloom.effects import Effect
from stileloom.errors import ErrorKind, Outcome
from stileloom.lease import FencingToken
from stileloom.policy import PolicyBook
from stileloom.routing import AnswerReady, Gateway, GatewayView, LookupRequest
from stileloom.routing.choice import Candidate, choose_sampler
from stileloom.routing.limits import Ejections, RetryBudget, TenantLimits
from stileloom.samplers.effects import ConfirmNotRun, OpenStream
from stileloom.samplers.messages import LoadRow, SamplerReport
from stileloom.samplers.table import SamplerTable


def load(sampler_id: str, running: int = 0) -> LoadRow:
    """A serving lookup sampler."""
    return LoadRow(
        sampler_id, EngineState.SERVING, SamplerRole.LOOKUP, "m", 1, running, 0, 8,
        FencingToken(0, 0),
    )  # fmt: skip


def view(samplers: int = 2, **service: object) -> GatewayView:
    """A gateway's view of some idle samplers."""
    table = SamplerTable()
    names = [f"s{number}" for number in range(samplers)]
    table.set_machines([Machine(name, "p", "a", "127.0.0.1", 1) for name in names])
    table.on_report(0.0, SamplerReport([load(name) for name in names], []))
    return GatewayView(
        configuration=Configuration(
            1,
            pools={"p": Pool(SamplerRole.LOOKUP, "m")},
            services={"svc": Service("p", **service)},  # type: ignore[arg-type]
        ),
        policies=PolicyBook({}),
        table=table,
        subset=lambda pool: names,
        wall_time_s=0.0,
        lease_valid=True,
        lease_age_s=0.0,
    )


def request(number: int, **changes: object) -> LookupRequest:
    """A repeatable lookup with two seconds to go."""
    fields: dict[str, object] = {
        "request_id": f"r{number}",
        "service": "svc",
        "prompt": "p",
        "max_tokens": 4,
        "tenant": "t",
        "priority": 50,
        "repeatable": True,
        "deadline_at": 2.0,
    }
    return LookupRequest(**{**fields, **changes})  # type: ignore[arg-type]


def opened(effects: list[Effect]) -> OpenStream:
    """The one stream that was opened."""
    return next(effect for effect in effects if isinstance(effect, OpenStream))


def answer(effects: list[Effect]) -> AnswerReady:
    """The one answer that was given."""
    (found,) = [effect for effect in effects if isinstance(effect, AnswerReady)]
    return found


class GatewayTest(testtools.TestCase):
    """One gateway, by hand."""

    def setUp(self) -> None:
        super().setUp()
        self.gateway = Gateway("n", "a", random.Random(1), 0.0)

    def test_a_cut_stream_is_resumed_at_its_offset_and_answered_whole(self) -> None:
        here = view()
        first = opened(self.gateway.submit(0.0, request(1), here)).request
        self.gateway.stream_chunk(0.1, first.request_id, StreamChunk(0, [1, 2], 7))
        effects = self.gateway.stream_end(0.2, first.request_id, StreamEnd(4, "stop"), here)
        second = opened(effects).request
        self.assertEqual(2, second.first_token)
        late = self.gateway.stream_chunk(0.2, first.request_id, StreamChunk(2, [9], 7))
        self.assertFalse([e for e in late if isinstance(e, AnswerReady)])
        self.gateway.stream_chunk(0.3, second.request_id, StreamChunk(2, [3, 4], 8))
        done = answer(self.gateway.stream_end(0.4, second.request_id, StreamEnd(4, "stop"), here))
        self.assertEqual([1, 2, 3, 4], done.answer.tokens)
        self.assertEqual([7, 8], done.answer.weight_versions)

    def test_a_full_queue_is_refused_at_once_with_when_to_come_back(self) -> None:
        here = view(samplers=1, concurrency_per_sampler=1, queue_limit=1)
        self.gateway.submit(0.0, request(1), here)
        self.assertEqual([], self.gateway.submit(0.0, request(2), here))
        refused = answer(self.gateway.submit(0.0, request(3), here)).answer
        assert refused.error is not None
        self.assertEqual(ErrorKind.OVERLOADED, refused.error.kind)
        self.assertEqual(Outcome.NOT_RUN, refused.outcome)
        assert refused.error.retry_after_s is not None
        self.assertGreater(refused.error.retry_after_s, 0)

    def test_the_queue_goes_by_priority(self) -> None:
        here = view(samplers=1, concurrency_per_sampler=1)
        running = opened(self.gateway.submit(0.0, request(1), here)).request
        self.gateway.submit(0.0, request(2, priority=10), here)
        self.gateway.submit(0.0, request(3, priority=90), here)
        self.gateway.stream_chunk(0.1, running.request_id, StreamChunk(0, [1], 1))
        effects = self.gateway.stream_end(0.1, running.request_id, StreamEnd(1, "stop"), here)
        self.assertTrue(opened(effects).request.request_id.startswith("r3#"))

    def test_a_non_repeatable_request_is_confirmed_not_retried(self) -> None:
        here = view()
        sent = opened(self.gateway.submit(0.0, request(1, repeatable=False), here)).request
        effects = self.gateway.stream_failed(0.1, sent.request_id, False, "reset", here)
        self.assertTrue(any(isinstance(effect, ConfirmNotRun) for effect in effects))
        effects = self.gateway.cancel_confirmed(0.2, sent.request_id, CancelState.NEVER_BEGAN)
        self.assertEqual(Outcome.NOT_RUN, answer(effects).answer.outcome)

    def test_a_non_repeatable_request_that_may_have_run_is_unknown(self) -> None:
        here = view()
        sent = opened(self.gateway.submit(0.0, request(1, repeatable=False), here)).request
        self.gateway.stream_failed(0.1, sent.request_id, False, "reset", here)
        effects = self.gateway.tick(1.2, here)
        self.assertEqual(Outcome.UNKNOWN, answer(effects).answer.outcome)

    def test_a_deadline_ends_a_request_at_once(self) -> None:
        here = view()
        self.gateway.submit(0.0, request(1), here)
        ended = answer(self.gateway.tick(2.0, here)).answer
        assert ended.error is not None
        self.assertEqual(ErrorKind.DEADLINE_PASSED, ended.error.kind)
        self.assertEqual(Outcome.UNKNOWN, ended.outcome)
        self.assertEqual([], [e for e in self.gateway.tick(3.0, here) if e])

    def test_a_draining_gateway_admits_nothing(self) -> None:
        self.gateway.draining = True
        refused = answer(self.gateway.submit(0.0, request(1), view())).answer
        assert refused.error is not None
        self.assertEqual(ErrorKind.DRAINING, refused.error.kind)

    def test_a_lapsed_lease_marks_answers_or_refuses(self) -> None:
        cut_off = view(serve_when_cut_off=False)
        cut_off.lease_valid = False
        refused = answer(self.gateway.submit(0.0, request(1), cut_off)).answer
        assert refused.error is not None
        self.assertEqual(ErrorKind.NOT_READY, refused.error.kind)
        marked = view()
        marked.lease_valid, marked.lease_age_s = False, 5.0
        sent = opened(self.gateway.submit(0.0, request(2), marked)).request
        done = answer(self.gateway.stream_end(0.1, sent.request_id, StreamEnd(0, "stop"), marked))
        self.assertEqual(5.0, done.answer.revision_age_s)


class LimitsTest(testtools.TestCase):
    """Limits and choices."""

    def test_a_tenant_over_its_rate_is_told_when_to_come_back(self) -> None:
        limits = TenantLimits()
        for _ in range(2):
            self.assertIsNone(limits.admit(0.0, "svc", "t", 1.0))
        wait_s = limits.admit(0.0, "svc", "t", 1.0)
        assert wait_s is not None
        self.assertAlmostEqual(1.0, wait_s)
        self.assertIsNone(limits.admit(0.0, "svc", "another", 1.0))
        self.assertIsNone(limits.admit(wait_s, "svc", "t", 1.0))

    def test_retries_are_a_share_of_requests(self) -> None:
        budget = RetryBudget(0.0)
        for _ in range(20):
            self.assertTrue(budget.may_retry(0.0))
        self.assertFalse(budget.may_retry(0.0))
        for _ in range(5):
            budget.request_seen()
        self.assertTrue(budget.may_retry(0.0))

    def test_a_failing_sampler_is_ejected_for_longer_each_time(self) -> None:
        ejections = Ejections()
        self.assertEqual([False, False, True], [ejections.failed(0.0, "s") for _ in range(3)])
        self.assertTrue(ejections.is_ejected(4.9, "s"))
        self.assertFalse(ejections.is_ejected(5.1, "s"))
        for _ in range(3):
            ejections.failed(6.0, "s")
        self.assertTrue(ejections.is_ejected(15.0, "s"))

    def test_choice_prefers_the_own_zone_and_bounds_affinity(self) -> None:
        rng = random.Random(1)
        near, far = Candidate("near", "a", 5), Candidate("far", "b", 0)
        self.assertEqual("near", choose_sampler([near, far], "a", "", rng))
        crowd = [Candidate(f"s{n}", "a", 0) for n in range(4)]
        owner = choose_sampler(crowd, "a", "key", rng)
        loaded = [Candidate(c.sampler_id, "a", 9 if c.sampler_id == owner else 0) for c in crowd]
        self.assertNotEqual(owner, choose_sampler(loaded, "a", "key", rng))
