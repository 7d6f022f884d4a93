"""Tests of the gateway core: admission, queueing, limits, retries and outcomes."""

from __future__ import annotations

import random

import testtools

from stileloom.api.engine import CancelState, EngineState, StreamChunk, StreamEnd
from stileloom.api.objects import Configuration, Machine, Pool, SamplerRole, Service
from stileloom.effects import Effect
from stileloom.errors import ErrorKind, Outcome
from stileloom.lease import FencingToken
from stileloom.policy import PolicyRegistry
from stileloom.routing import AnswerReady, Gateway, GatewayView, LookupRequest
from stileloom.routing.choice import Candidate, choose_sampler
from stileloom.routing.limits import RetryBudget, SamplerEjections, TenantLimits
from stileloom.samplers.effects import ConfirmNotRun, OpenStream
from stileloom.samplers.messages import LoadRow, SamplerReport
from stileloom.samplers.table import SamplerTable


def load_row(sampler_id: str, running: int = 0) -> LoadRow:
    """Returns the load report of a serving lookup sampler."""
    return LoadRow(
        sampler_id, EngineState.SERVING, SamplerRole.LOOKUP, "m", 1, running, 0, 8,
        FencingToken(0, 0),
    )  # fmt: skip


def view(samplers: int = 2, **service: object) -> GatewayView:
    """Returns a gateway view with idle samplers."""
    table = SamplerTable()
    names = [f"s{number}" for number in range(samplers)]
    table.set_machines([Machine(name, "p", "a", "127.0.0.1", 1) for name in names])
    table.on_report(0.0, SamplerReport([load_row(name) for name in names], []))
    return GatewayView(
        configuration=Configuration(
            1,
            pools={"p": Pool(SamplerRole.LOOKUP, "m")},
            services={"svc": Service("p", **service)},  # type: ignore[arg-type]
        ),
        policies=PolicyRegistry({}),
        table=table,
        subset=lambda pool: names,
        wall_time_s=0.0,
        lease_valid=True,
        time_since_lease_expiry_s=0.0,
    )


def request(number: int, **changes: object) -> LookupRequest:
    """Returns a repeatable lookup with a deadline at 2 s."""
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
    """Returns the first opened stream."""
    return next(effect for effect in effects if isinstance(effect, OpenStream))


def answer(effects: list[Effect]) -> AnswerReady:
    """Returns the only answer; fails if there is not exactly one."""
    (found,) = [effect for effect in effects if isinstance(effect, AnswerReady)]
    return found


class GatewayTest(testtools.TestCase):
    """Drives one gateway through its public methods."""

    def setUp(self) -> None:
        super().setUp()
        self.gateway = Gateway("n", "a", random.Random(1), 0.0)

    def test_truncated_stream_resumes_at_its_offset_and_completes(self) -> None:
        gateway_view = view()
        first = opened(self.gateway.submit(0.0, request(1), gateway_view)).request
        self.gateway.stream_chunk(0.1, first.request_id, StreamChunk(0, [1, 2], 7))
        effects = self.gateway.stream_end(0.2, first.request_id, StreamEnd(4, "stop"), gateway_view)
        second = opened(effects).request
        self.assertEqual(2, second.first_token)
        late = self.gateway.stream_chunk(0.2, first.request_id, StreamChunk(2, [9], 7))
        self.assertFalse([e for e in late if isinstance(e, AnswerReady)])
        self.gateway.stream_chunk(0.3, second.request_id, StreamChunk(2, [3, 4], 8))
        done = answer(
            self.gateway.stream_end(0.4, second.request_id, StreamEnd(4, "stop"), gateway_view)
        )
        self.assertEqual([1, 2, 3, 4], done.answer.tokens)
        self.assertEqual([7, 8], done.answer.weight_versions)

    def test_full_queue_rejects_with_retry_after(self) -> None:
        gateway_view = view(samplers=1, concurrency_per_sampler=1, queue_limit=1)
        self.gateway.submit(0.0, request(1), gateway_view)
        self.assertEqual([], self.gateway.submit(0.0, request(2), gateway_view))
        refused = answer(self.gateway.submit(0.0, request(3), gateway_view)).answer
        assert refused.error is not None
        self.assertEqual(ErrorKind.OVERLOADED, refused.error.kind)
        self.assertEqual(Outcome.NOT_RUN, refused.outcome)
        assert refused.error.retry_after_s is not None
        self.assertGreater(refused.error.retry_after_s, 0)

    def test_queue_is_ordered_by_priority(self) -> None:
        gateway_view = view(samplers=1, concurrency_per_sampler=1)
        running = opened(self.gateway.submit(0.0, request(1), gateway_view)).request
        self.gateway.submit(0.0, request(2, priority=10), gateway_view)
        self.gateway.submit(0.0, request(3, priority=90), gateway_view)
        self.gateway.stream_chunk(0.1, running.request_id, StreamChunk(0, [1], 1))
        effects = self.gateway.stream_end(
            0.1, running.request_id, StreamEnd(1, "stop"), gateway_view
        )
        self.assertTrue(opened(effects).request.request_id.startswith("r3#"))

    def test_non_repeatable_request_is_confirmed_not_retried(self) -> None:
        gateway_view = view()
        sent = opened(self.gateway.submit(0.0, request(1, repeatable=False), gateway_view)).request
        effects = self.gateway.stream_failed(0.1, sent.request_id, False, "reset", gateway_view)
        self.assertTrue(any(isinstance(effect, ConfirmNotRun) for effect in effects))
        effects = self.gateway.cancel_confirmed(0.2, sent.request_id, CancelState.NEVER_BEGAN)
        self.assertEqual(Outcome.NOT_RUN, answer(effects).answer.outcome)

    def test_non_repeatable_request_that_may_have_run_is_unknown(self) -> None:
        gateway_view = view()
        sent = opened(self.gateway.submit(0.0, request(1, repeatable=False), gateway_view)).request
        self.gateway.stream_failed(0.1, sent.request_id, False, "reset", gateway_view)
        effects = self.gateway.tick(1.2, gateway_view)
        self.assertEqual(Outcome.UNKNOWN, answer(effects).answer.outcome)

    def test_request_fails_at_its_deadline(self) -> None:
        gateway_view = view()
        self.gateway.submit(0.0, request(1), gateway_view)
        ended = answer(self.gateway.tick(2.0, gateway_view)).answer
        assert ended.error is not None
        self.assertEqual(ErrorKind.DEADLINE_PASSED, ended.error.kind)
        self.assertEqual(Outcome.UNKNOWN, ended.outcome)
        self.assertEqual([], [e for e in self.gateway.tick(3.0, gateway_view) if e])

    def test_draining_gateway_rejects_requests(self) -> None:
        self.gateway.draining = True
        refused = answer(self.gateway.submit(0.0, request(1), view())).answer
        assert refused.error is not None
        self.assertEqual(ErrorKind.DRAINING, refused.error.kind)

    def test_expired_lease_rejects_or_reports_revision_age(self) -> None:
        rejecting_view = view(serve_when_cut_off=False)
        rejecting_view.lease_valid = False
        refused = answer(self.gateway.submit(0.0, request(1), rejecting_view)).answer
        assert refused.error is not None
        self.assertEqual(ErrorKind.NOT_READY, refused.error.kind)
        serving_view = view()
        serving_view.lease_valid, serving_view.time_since_lease_expiry_s = False, 5.0
        sent = opened(self.gateway.submit(0.0, request(2), serving_view)).request
        done = answer(
            self.gateway.stream_end(0.1, sent.request_id, StreamEnd(0, "stop"), serving_view)
        )
        self.assertEqual(5.0, done.answer.revision_age_s)


class LimitsTest(testtools.TestCase):
    """Rate limits, retry budget, ejection and sampler selection."""

    def test_tenant_over_its_rate_limit_gets_retry_delay(self) -> None:
        limits = TenantLimits()
        for _ in range(2):
            self.assertIsNone(limits.admit(0.0, "svc", "t", 1.0))
        wait_s = limits.admit(0.0, "svc", "t", 1.0)
        assert wait_s is not None
        self.assertAlmostEqual(1.0, wait_s)
        self.assertIsNone(limits.admit(0.0, "svc", "another", 1.0))
        self.assertIsNone(limits.admit(wait_s, "svc", "t", 1.0))

    def test_retries_are_a_fraction_of_requests(self) -> None:
        budget = RetryBudget(0.0)
        for _ in range(20):
            self.assertTrue(budget.may_retry(0.0))
        self.assertFalse(budget.may_retry(0.0))
        for _ in range(5):
            budget.record_request()
        self.assertTrue(budget.may_retry(0.0))

    def test_ejection_time_of_failing_sampler_grows(self) -> None:
        ejections = SamplerEjections()
        self.assertEqual(
            [False, False, True], [ejections.record_failure(0.0, "s") for _ in range(3)]
        )
        self.assertTrue(ejections.is_ejected(4.9, "s"))
        self.assertFalse(ejections.is_ejected(5.1, "s"))
        for _ in range(3):
            ejections.record_failure(6.0, "s")
        self.assertTrue(ejections.is_ejected(15.0, "s"))

    def test_selection_prefers_local_zone_and_bounds_affinity_load(self) -> None:
        rng = random.Random(1)
        local, remote = Candidate("local", "a", 5), Candidate("remote", "b", 0)
        self.assertEqual("local", choose_sampler([local, remote], "a", "", rng))
        candidates = [Candidate(f"s{n}", "a", 0) for n in range(4)]
        preferred = choose_sampler(candidates, "a", "key", rng)
        loaded = [
            Candidate(c.sampler_id, "a", 9 if c.sampler_id == preferred else 0) for c in candidates
        ]
        self.assertNotEqual(preferred, choose_sampler(loaded, "a", "key", rng))
