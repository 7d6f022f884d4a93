"""End-to-end tests over real sockets in one process: lookups, streams, jobs, lost nodes."""

from __future__ import annotations

import asyncio
import errno
from unittest import mock

import testtools
from tornado.httpclient import HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.simple_httpclient import HTTPStreamClosedError

from stileloom.clock import steady_time
from stileloom.emulator.http_sampler import expected_events
from stileloom.events import LogEvent
from stileloom.ledger.effects import Persist
from stileloom.ledger.storage import LedgerStorage
from stileloom.proxy.caller_messages import CallerRequest
from tests.service_cluster import MODEL, TIMEOUT_S, ServiceCluster, configuration, with_cluster

EVENTS = 6


class LookupTest(testtools.TestCase):
    """Opaque lookups through a gateway."""

    def test_answers_come_back_unchanged(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            answer = await cluster.call("POST", "/charts/7?z=1", b"abc", request_id="r1")
            self.assertEqual(200, answer.code)
            self.assertEqual(b"echo:abc", answer.body)
            runs = [run for sampler in cluster.samplers.values() for run in sampler.runs]
            self.assertEqual(
                [("r1", "/charts/7?z=1", b"abc")],
                [(run.request_id, run.target, run.body) for run in runs],
            )

        with_cluster(scenario)

    def test_a_rejecting_sampler_is_skipped_and_if_all_reject_the_answer_has_retry_after(
        self,
    ) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            cluster.samplers["chart-1"].faults.refuse = True
            for number in range(4):
                answer = await cluster.call("POST", "/charts/7", b"x", request_id=f"r{number}")
                self.assertEqual(200, answer.code)
            cluster.samplers["chart-2"].faults.refuse = True
            answer = await cluster.call("POST", "/charts/7", b"x", request_id="r9")
            self.assertEqual(503, answer.code)
            self.assertIn("Retry-After", answer.headers)

        with_cluster(scenario)

    def test_a_lookup_that_times_out_logs_the_samplers_it_tried(self) -> None:
        """No other log line would name unresponsive samplers."""

        async def scenario(cluster: ServiceCluster) -> None:
            for name in ("chart-1", "chart-2"):
                cluster.samplers[name].faults.unresponsive = True
            details: list[str] = []
            log = cluster.gateways[0].front._log

            def record(event: LogEvent, fields: dict[str, object]) -> None:
                if event is LogEvent.REQUEST_REFUSED:
                    details.append(str(fields["detail"]))

            with mock.patch.object(log, "emit", record):
                answer = await cluster.call(
                    "POST", "/charts/7", b"x", request_id="r1", deadline_ms="1500"
                )
            self.assertEqual(504, answer.code)
            # Both samplers may have run it.
            self.assertIn(b'"outcome":"unknown"', answer.body)
            (detail,) = details
            self.assertIn("chart-1", detail)
            self.assertIn("chart-2", detail)

        with_cluster(scenario)

    def test_a_failing_lookup_respects_the_attempt_limit(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            for name in ("chart-1", "chart-2"):
                cluster.samplers[name].faults.fail_status = 500
            answer = await cluster.call("POST", "/charts/7", b"x", request_id="r1")
            self.assertEqual(500, answer.code)
            runs = sum(len(sampler.runs) for sampler in cluster.samplers.values())
            self.assertLessEqual(runs, 3)

        with_cluster(scenario)

    def test_an_unsafe_lookup_runs_once(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await cluster.write("configuration", "main", configuration(2, kind="unsafe"))
            gateway = cluster.gateways[0]
            await cluster.wait_until(lambda: gateway.directory.routes.version == 2)
            for name in ("chart-1", "chart-2"):
                cluster.samplers[name].faults.fail_status = 500
            answer = await cluster.call("POST", "/charts/7", b"x", request_id="r1")
            self.assertEqual(500, answer.code)
            runs = sum(len(sampler.runs) for sampler in cluster.samplers.values())
            self.assertEqual(1, runs)

        with_cluster(scenario)

    def test_a_stopping_gateway_passes_nothing_on_before_it_closes(self) -> None:
        """A request that races with the close of its connection must not have run."""

        async def scenario(cluster: ServiceCluster) -> None:
            gateway = cluster.gateways[0]
            statuses_before_close: list[int] = []
            close_all = HTTPServer.close_all_connections

            async def serve_then_close(server: HTTPServer) -> None:
                answer = await gateway.front.serve(
                    CallerRequest("POST", "/charts/7", HTTPHeaders(), b"", 0.0)
                )
                assert answer is not None
                statuses_before_close.append(answer.status)
                await close_all(server)

            with mock.patch.object(HTTPServer, "close_all_connections", serve_then_close):
                gateway.stop()
                await cluster.wait_until(lambda: len(statuses_before_close) > 0)
            self.assertEqual({503}, set(statuses_before_close))
            runs = [run for sampler in cluster.samplers.values() for run in sampler.runs]
            self.assertEqual([], runs)

        with_cluster(scenario)

    def test_unknown_routes_and_invalid_input_are_rejected(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            answer = await cluster.call("POST", "/nowhere/7", b"x", request_id="r1")
            self.assertEqual(404, answer.code)
            deep = b"[" * 100_000
            for body in (b"", b"{", b"\xff", deep, b'{"items":' + deep, b'{"items":[1]}'):
                answer = await cluster.call("POST", "/drafts/j", body, request_id="bad")
                self.assertEqual(400, answer.code, body[:20])
            answer = await cluster.submit("twice", ["a", "a"])
            self.assertEqual(400, answer.code)
            for target in ("/v1/jobs/x/results?position=no", "/v1/jobs/x/results?position=-1"):
                self.assertEqual(400, (await cluster.call("GET", target)).code)
            self.assertEqual(404, (await cluster.call("GET", "/v1/jobs/none/results")).code)
            self.assertEqual(404, (await cluster.call("DELETE", "/v1/jobs/none")).code)
            answer = await cluster.call("POST", "/charts/7", b"ok", request_id="r2")
            self.assertEqual(200, answer.code)

        with_cluster(scenario)


class StreamTest(testtools.TestCase):
    """Streaming routes."""

    async def stream(self, cluster: ServiceCluster, **changes: object) -> HTTPResponse | None:
        """Sends a streaming request over a changed route; returns None if the stream broke."""
        service = {"backends": [{"service": "drafts", "weight": 1}], "kind": "streaming"}
        await cluster.write("configuration", "main", configuration(2, **service, **changes))
        gateway = cluster.gateways[0]
        await cluster.wait_until(lambda: gateway.directory.routes.version == 2)
        await cluster.wait_until(lambda: len(gateway.directory.samplers.of_service("drafts")) == 2)
        try:
            return await cluster.call("POST", "/charts/7", b"x", request_id="r1", model=MODEL)
        except HTTPStreamClosedError:
            return None

    def complete_body(self) -> bytes:
        """Returns the complete event stream of the request."""
        events = expected_events("r1", EVENTS)
        return "".join(f"id: {n}\ndata: {data}\n\n" for n, data in enumerate(events, 1)).encode()

    def test_events_pass_through(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            answer = await self.stream(cluster)
            assert answer is not None
            self.assertEqual((200, self.complete_body()), (answer.code, answer.body))

        with_cluster(scenario)

    def test_a_broken_stream_is_resumed_where_the_route_allows_it(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            for name in ("draft-1", "draft-2"):
                cluster.samplers[name].faults.disconnect_after_events = 2
            answer = await self.stream(cluster, resumable=True, max_attempts=9)
            assert answer is not None
            self.assertEqual((200, self.complete_body()), (answer.code, answer.body))
            runs = [run for sampler in cluster.samplers.values() for run in sampler.runs]
            self.assertEqual([0, 2, 4], sorted(run.after_event or 0 for run in runs))

        with_cluster(scenario)

    def test_a_broken_stream_is_never_reported_as_complete(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            for name in ("draft-1", "draft-2"):
                cluster.samplers[name].faults.disconnect_after_events = 2
            self.assertIsNone(await self.stream(cluster))
            runs = sum(len(sampler.runs) for sampler in cluster.samplers.values())
            self.assertEqual(1, runs)

        with_cluster(scenario)


class JobTest(testtools.TestCase):
    """Batch jobs through gateways, ledger and samplers."""

    def check_texts(self, results: list[list[object]]) -> None:
        """Checks that each text is the complete output of its item."""
        for item_id, state, text, _, score in results:
            self.assertEqual(("succeeded", ""), (state, score))
            self.assertEqual("\n".join(expected_events(str(item_id), EVENTS)), text)

    def test_all_gateways_return_the_same_job_results(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            items = [f"i{number}" for number in range(12)]
            self.assertEqual(202, (await cluster.submit("job", items)).code)
            self.assertEqual(202, (await cluster.submit("job", items)).code)
            results = await cluster.results("job", 12)
            self.check_texts(results)
            self.assertEqual(sorted(items), sorted(str(result[0]) for result in results))
            self.assertEqual(results, await cluster.results("job", 12, gateway=1))
            body = await cluster.call("GET", "/v1/jobs/job/items/i3")
            self.assertEqual(b"body", body.body)
            self.assertEqual(404, (await cluster.call("GET", "/v1/jobs/job/items/x")).code)
            self.assertEqual(200, (await cluster.call("DELETE", "/v1/jobs/job")).code)
            self.assertEqual(200, (await cluster.call("DELETE", "/v1/jobs/job")).code)

        with_cluster(scenario)

    def test_broken_streams_are_resumed_into_one_text(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            cluster.samplers["draft-1"].faults.disconnect_after_events = 2
            items = [f"i{number}" for number in range(8)]
            await cluster.submit("job", items)
            self.check_texts(await cluster.results("job", 8))

        with_cluster(scenario)

    def test_an_item_that_always_fails_ends_at_the_attempt_limit(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            for name in ("draft-1", "draft-2"):
                cluster.samplers[name].faults.fail_status = 500
            await cluster.submit("job", ["i1"])
            results = await cluster.results("job", 1)
            self.assertEqual([["i1", "given_up", "", [], ""]], results)
            runs = sum(len(sampler.runs) for sampler in cluster.samplers.values())
            self.assertEqual(3, runs)

        with_cluster(scenario)

    def test_a_run_that_was_stopped_before_it_began_does_not_run(
        self,
    ) -> None:
        """Two streams of one item would write to the same text."""

        async def scenario(cluster: ServiceCluster) -> None:
            leader = cluster.ledger_nodes[cluster.leader() or ""]
            assert leader._leadership is not None
            runner = leader._leadership.runner
            # Prevents the leader from timing out the run or starting the item itself.
            run_timeout = mock.patch("stileloom.jobs.scheduler.EVENT_TIMEOUT_S", 10 * TIMEOUT_S)
            starts = mock.patch.object(runner.scheduler, "plan_starts", return_value=[])
            with run_timeout, starts:
                await cluster.submit("job", ["i1"])
                await cluster.wait_until(lambda: len(runner.scheduler.items) == 1)
                (item,) = runner.scheduler.items.values()
                now = steady_time()
                runner._runs.start([runner.scheduler.start_on(item, "draft-1", now)])
                runner._runs.stop(item, "moved")
                runner._runs.start([runner.scheduler.start_on(item, "draft-2", now)])
                self.check_texts(await cluster.results("job", 1))
            runs = [len(cluster.samplers[name].runs) for name in ("draft-1", "draft-2")]
            self.assertEqual([0, 1], runs)

        with_cluster(scenario)

    def test_an_item_that_failed_on_one_sampler_is_retried_on_another(self) -> None:
        """A sampler that fails some requests must not use up all attempts of an item."""

        async def scenario(cluster: ServiceCluster) -> None:
            cluster.samplers["draft-1"].faults.fail_status = 500
            leader = cluster.ledger_nodes[cluster.leader() or ""]
            assert leader._leadership is not None
            # A sampler that fails fast appears to be the faster one.
            leader._leadership.runner.scheduler.stats("draft-1").interval_s = 1e-6
            items = [f"i{number}" for number in range(3)]
            await cluster.submit("job", items)
            self.check_texts(await cluster.results("job", 3))
            run_ids = [run.request_id for run in cluster.samplers["draft-1"].runs]
            self.assertEqual(len(set(run_ids)), len(run_ids))

        with_cluster(scenario)

    def test_a_required_version_is_loaded_and_reported(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await cluster.write("versions", MODEL, {"model": MODEL, "version": 3})
            await cluster.submit("job", ["i1", "i2"], min_version=3)
            results = await cluster.results("job", 2)
            self.check_texts(results)
            self.assertEqual([[3], [3]], [result[3] for result in results])
            for name in ("draft-1", "draft-2"):
                fences = [order.fence for order in cluster.samplers[name].orders]
                self.assertEqual(sorted(fences), fences)

        with_cluster(scenario)

    def test_results_survive_the_loss_of_the_leader_and_of_its_disk(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            items = [f"i{number}" for number in range(6)]
            await cluster.submit("job", items)
            before = await cluster.results("job", 6)
            await cluster.submit("next", items)
            first_leader = cluster.leader()
            assert first_leader is not None
            await cluster.kill(first_leader)
            cluster.delete_data(first_leader)
            await cluster.wait_until(lambda: cluster.leader() is not None)
            self.assertEqual(before, await cluster.results("job", 6))
            self.check_texts(await cluster.results("next", 6, gateway=1))
            cluster.restart(first_leader)
            node = cluster.ledger_nodes[first_leader]
            await cluster.wait_until(node.is_voter)
            second_leader = cluster.leader()
            assert second_leader is not None
            await cluster.kill(second_leader)
            await cluster.wait_until(lambda: cluster.leader() is not None)
            self.assertEqual(before, await cluster.results("job", 6))

        with_cluster(scenario)

    def test_disks_that_refuse_writes_for_a_while_stop_nothing_for_good(self) -> None:
        """Nothing is acknowledged while disks reject writes; afterwards the cluster recovers."""

        async def scenario(cluster: ServiceCluster) -> None:
            real_write = LedgerStorage.write
            rejected_by: list[LedgerStorage] = []

            def fail_write(storage: LedgerStorage, writes: list[Persist]) -> None:
                rejected_by.append(storage)
                raise OSError(errno.ENOSPC, "no space")

            with mock.patch.object(LedgerStorage, "write", fail_write):
                submitting = asyncio.ensure_future(cluster.submit("job", ["i1", "i2"]))
                await cluster.wait_until(
                    lambda: len(set(rejected_by)) == 3 and len(rejected_by) > 6
                )
                self.assertFalse(submitting.done() and submitting.result().code == 202)
            self.assertIs(real_write, LedgerStorage.write)
            answer = await submitting
            while answer.code != 202:
                answer = await cluster.submit("job", ["i1", "i2"])
            self.check_texts(await cluster.results("job", 2))

        with_cluster(scenario)

    def test_a_removed_ledger_node_leaves_the_voter_set(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await cluster.submit("job", ["i1"])
            before = await cluster.results("job", 1)
            await cluster.write("removals", "ledger-1", {})
            node = cluster.ledger_nodes["ledger-2"]
            await cluster.wait_until(lambda: "ledger-1" not in node.voter_names())

            async def finished() -> bool:
                status = await cluster.api.get("removals-status", "ledger-1")
                return status is not None and status.spec == {"finished": True}

            while not await finished():
                await asyncio.sleep(0.05)
            await cluster.kill("ledger-1")
            await cluster.wait_until(lambda: cluster.leader() is not None)
            self.assertEqual(before, await cluster.results("job", 1))
            # One of the two remaining nodes loses its disk; the other continues alone.
            await cluster.kill("ledger-2")
            cluster.delete_data("ledger-2")
            cluster.restart("ledger-2")
            await cluster.wait_until(lambda: cluster.ledger_nodes["ledger-2"].is_voter())
            self.assertEqual(before, await cluster.results("job", 1))

        with_cluster(scenario)
