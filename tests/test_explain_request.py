"""Decision records of running processes: what operators get, and what is never recorded."""

from __future__ import annotations

import asyncio
import json
import sys

import testtools
from tornado.httpclient import AsyncHTTPClient

from stileloom.decisions import DecisionKind
from tests.runner_fixture import MODEL
from tests.service_cluster import ServiceCluster, configuration, with_cluster
from tests.test_decisions import page_of
from tests.test_tenants import KEYS, bearer, set_keys

KEY = "key-of-survey"
SECRETS = (KEY, "secret-body", "secret-header")


async def fetch(address: str, path: str) -> bytes:
    """Gets a page of the metrics port."""
    response = await AsyncHTTPClient().fetch(f"http://{address}{path}")
    return response.body


async def explain(address: str, *arguments: str) -> tuple[int, str, str]:
    """Runs `stileloom explain-request`."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "stileloom.cli.main",
        "explain-request",
        address,
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, errors = await process.communicate()
    return process.returncode or 0, out.decode(), errors.decode()


class OperatorTest(testtools.TestCase):
    """Records of running processes, over their metrics ports."""

    def test_no_key_header_or_body_is_recorded(self) -> None:
        """Neither for answers nor refusals, also of requests whose key is not valid."""

        async def scenario(cluster: ServiceCluster) -> None:
            await set_keys(cluster, 2, KEYS)
            own = {"authorization": bearer(KEY), "tenant": "secret-header"}
            body = b"secret-body"
            answers = [await cluster.call("POST", "/charts/7", body, request_id="ok", **own)]
            for name in ("chart-1", "chart-2"):
                cluster.samplers[name].faults.refuse = True
            answers.append(await cluster.call("POST", "/charts/7", body, request_id="no", **own))
            own["authorization"] = bearer("secret-header")
            answers.append(await cluster.call("POST", "/charts/7", body, request_id="who", **own))
            answers.append(await cluster.submit("job", ["i1"], authorization=bearer(KEY)))
            self.assertEqual([200, 503, 401, 202], [answer.code for answer in answers])
            await cluster.results("job", 1, authorization=bearer(KEY))
            gateway = await fetch(cluster.metrics_addresses["gateway-0"], "/decisions")
            leader = cluster.leader()
            assert leader is not None
            ledger = await fetch(cluster.metrics_addresses[leader], "/decisions?request=job")
            for secret in SECRETS:
                self.assertNotIn(secret, gateway.decode())
                self.assertNotIn(secret, ledger.decode())
            self.assertEqual(["ok", "no"], [record.request for record in page_of(gateway).records])
            (started,) = page_of(ledger).records
            self.assertEqual(("survey", "i1"), (started.tenant, started.request))
            # One of the eight slots of both samplers, which is more than its share of the cache.
            self.assertEqual((5, 0.125), (started.priority, started.share))

        with_cluster(scenario)

    def test_an_operator_sees_why_a_lookup_ran_where_it_ran_or_was_refused(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await set_keys(cluster, 2, KEYS)
            own = {"authorization": bearer(KEY)}
            for name in ("chart-1", "chart-2"):
                cluster.samplers[name].load = "3,1,4,180"
            charts = [cluster.samplers[name] for name in ("chart-1", "chart-2")]
            earlier = 0
            while not all(sampler.runs for sampler in charts):
                # Until there is a reading of each sampler, whichever the next lookup gets.
                await cluster.call("POST", "/charts/7", b"x", request_id=f"r{earlier}", **own)
                earlier += 1
            await cluster.call("POST", "/charts/7", b"x", request_id="third [1]", **own)
            for name in ("chart-1", "chart-2"):
                cluster.samplers[name].faults.refuse = True
            refused = await cluster.call("POST", "/charts/7", b"x", request_id="no", **own)
            address = cluster.metrics_addresses["gateway-0"]
            self.assertIn(b"stileloom_requests", await fetch(address, "/metrics"))

            code, out, _ = await explain(address, "third [1]", "--output", "json")
            self.assertEqual(0, code)
            (record,) = page_of(out.encode()).records
            self.assertEqual(
                ("survey", 5, "charts"), (record.tenant, record.priority, record.service)
            )
            drawn = [candidate.sampler for candidate in record.candidates]
            self.assertEqual(record.sampler, drawn[0])
            self.assertEqual({"chart-1", "chart-2"}, set(drawn))
            self.assertIsNotNone(record.candidates[0].expected_percent)
            self.assertEqual(100, record.candidates[0].occupancy_percent)
            self.assertEqual(180, record.candidates[0].slowness_percent)
            self.assertIsNotNone(record.candidates[0].age_ms)

            code, out, _ = await explain(address, "third [1]")
            self.assertEqual(0, code)
            for text in ("third [1]", "survey", record.sampler, "occupancy 100 %", "wait_ms"):
                self.assertIn(text, out)

            code, out, _ = await explain(address, "no", "--output", "json")
            (record,) = json.loads(out)["records"]
            self.assertEqual("overloaded", record["reason"])
            self.assertEqual(float(refused.headers["Retry-After"]), record["retry_after_s"])

            self.assertEqual((0, 0.0), (record["queue_position"], record["share"]))

            code, _, errors = await explain(address, "unknown")
            self.assertEqual(3, code)
            self.assertIn(f"no decision about unknown among the {earlier + 2} kept", errors)

            ready = cluster.gateways[0]._settings.ready
            code, _, errors = await explain(ready, "no")
            self.assertEqual(2, code)
            self.assertIn("not the metrics address", errors)

        with_cluster(scenario)

    def test_streams_are_recorded(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await cluster.write("configuration", "main", configuration(2, kind="streaming"))
            gateway = cluster.gateways[0]
            await cluster.wait_until(lambda: gateway.directory.routes.version == 2)
            await cluster.call("POST", "/charts/7", b"x", request_id="r", model=MODEL)
            address = cluster.metrics_addresses["gateway-0"]
            (record,) = page_of(await fetch(address, "/decisions?request=r")).records
            self.assertIs(DecisionKind.LOOKUP_ANSWERED, record.kind)
            self.assertIn(record.sampler, ("chart-1", "chart-2"))

        with_cluster(scenario)
