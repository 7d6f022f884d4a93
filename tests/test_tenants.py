"""Tenants and API keys: who runs a request, whose job it is, and what samplers see of a key."""

from __future__ import annotations

import base64
import json
from unittest import mock

import testtools

from stileloom.api.tenants import Tenant
from stileloom.emulator.http_sampler import HttpSampler
from stileloom.errors import ErrorKind, StileloomError
from stileloom.http.native_dialect import NativeDialect
from stileloom.tenants.credentials import bearer_key, digest_of_key
from stileloom.tenants.job_scope import caller_job_id, scoped_job_id
from stileloom.tenants.key_table import KeyTable
from tests.service_cluster import ServiceCluster, configuration, with_cluster

KEYS = {"harbour": ["key-of-harbour-1", "key-of-harbour-2"], "survey": ["key-of-survey"]}
TENANT_HEADER = NativeDialect.names.tenant


def tenants(keys: dict[str, list[str]]) -> list[dict[str, object]]:
    """Tenants of a configuration, as the native dialect encodes them."""
    return [
        {
            "name": name,
            "key_digests": [base64.b64encode(digest_of_key(key)).decode() for key in held],
        }
        for name, held in keys.items()
    ]


def bearer(key: str) -> str:
    return f"Bearer {key}"


async def set_keys(cluster: ServiceCluster, version: int, keys: dict[str, list[str]]) -> None:
    """Stores a configuration with tenants and waits until all gateways have adopted it."""
    await cluster.write(
        "configuration", "main", {**configuration(version), "tenants": tenants(keys)}
    )
    for gateway in cluster.gateways:
        await cluster.wait_until(lambda: gateway.directory.routes.version == version)  # noqa: B023


def runs_of(cluster: ServiceCluster) -> list[tuple[str, dict[str, str]]]:
    """Request id and headers of all runs."""
    return [
        (run.request_id, run.headers)
        for sampler in cluster.samplers.values()
        for run in sampler.runs
    ]


class CredentialsTest(testtools.TestCase):
    """The `Authorization` header."""

    def test_a_bearer_key_is_read(self) -> None:
        self.assertEqual("abc", bearer_key(["Bearer abc"]))
        self.assertEqual("abc", bearer_key(["bearer  abc "]))

    def test_malformed_and_doubled_credentials_are_refused_without_naming_them(self) -> None:
        for values in ([], [""], ["secret"], ["Basic secret"], ["Bearer "], ["Bearer se cret"]):
            error = self.assertRaises(StileloomError, bearer_key, values)
            self.assertIs(ErrorKind.UNAUTHENTICATED, error.kind)
            self.assertNotIn("cret", str(error))
        self.assertRaises(StileloomError, bearer_key, ["Bearer a", "Bearer a"])

    def test_a_key_that_shares_the_prefix_of_its_digest_is_not_the_key(self) -> None:
        digest = digest_of_key("known")
        other = digest[:-1] + bytes([digest[-1] ^ 1])
        table = KeyTable([Tenant("harbour", [digest])])
        self.assertEqual("harbour", getattr(table.holder_of(digest), "name", None))
        self.assertIsNone(table.holder_of(other))

    def test_digests_are_compared_in_constant_time(self) -> None:
        table = KeyTable([Tenant("harbour", [digest_of_key("known")])])
        with mock.patch("hmac.compare_digest", return_value=False) as compare:
            self.assertRaises(StileloomError, table.authenticate, ["Bearer known"])
        compare.assert_called_once()


class JobScopeTest(testtools.TestCase):
    """Ids of jobs within their tenant."""

    def test_no_two_jobs_of_different_tenants_have_the_same_id(self) -> None:
        self.assertEqual("", caller_job_id(""))
        pairs = [("", "a"), ("", "t:a"), ("t", "a"), ("t", ":a"), ("t:", "a"), ("", ":t:a")]
        self.assertEqual(len(pairs), len({scoped_job_id(*pair) for pair in pairs}))
        for tenant, job_id in pairs:
            self.assertEqual(job_id, caller_job_id(scoped_job_id(tenant, job_id)))


class LookupTenantTest(testtools.TestCase):
    """Lookups at gateways with tenants."""

    def test_a_sampler_gets_the_tenant_and_never_the_key(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await set_keys(cluster, 2, KEYS)
            answer = await cluster.call(
                "POST", "/charts/7", b"x", request_id="r1", authorization=bearer("key-of-survey")
            )
            self.assertEqual(200, answer.code)
            ((_, headers),) = runs_of(cluster)
            self.assertEqual("survey", headers[TENANT_HEADER])
            self.assertNotIn("key-of-survey", json.dumps(headers))

        with_cluster(scenario)

    def test_a_request_without_a_known_key_runs_nowhere(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await set_keys(cluster, 2, KEYS)
            for key in (None, "Bearer unknown", "Basic key-of-survey"):
                headers = {"authorization": key} if key is not None else {}
                answer = await cluster.call("POST", "/charts/7", b"x", request_id="r1", **headers)
                self.assertEqual(401, answer.code)
                self.assertEqual("Bearer", answer.headers["WWW-Authenticate"])
                self.assertEqual("unauthenticated", json.loads(answer.body)["code"])
            self.assertEqual([], runs_of(cluster))

        with_cluster(scenario)

    def test_a_tenant_named_by_the_caller_never_reaches_a_sampler(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            for version, tenant in ((2, None), (3, tenants(KEYS))):
                spec = configuration(version, public=True)
                if tenant is not None:
                    spec["tenants"] = tenant
                await cluster.write("configuration", "main", spec)
                await cluster.wait_until(
                    lambda: cluster.gateways[0].directory.routes.version == version  # noqa: B023
                )
                answer = await cluster.call(
                    "POST",
                    "/charts/7",
                    b"x",
                    request_id=f"r{version}",
                    tenant="harbour",
                    authorization=bearer("key-of-survey"),
                )
                self.assertEqual(200, answer.code)
            for _, headers in runs_of(cluster):
                self.assertNotIn(TENANT_HEADER, headers)
            last = dict(runs_of(cluster))["r3"]
            self.assertNotIn("Authorization", last)

        with_cluster(scenario)

    def test_a_key_that_was_taken_away_while_a_lookup_waited_runs_nothing(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await set_keys(cluster, 2, KEYS)
            gateway = cluster.gateways[0]
            routes = gateway.directory.routes
            pool = gateway._forwarder._pool
            acquire = pool.acquire

            async def acquire_after_revocation(*arguments: object) -> object:
                connection = await acquire(*arguments)  # type: ignore[arg-type]
                keys = {**KEYS, "survey": []}
                spec = {**configuration(3), "tenants": tenants(keys)}
                routes.adopt(NativeDialect().decode_configuration(spec))
                return connection

            with mock.patch.object(pool, "acquire", acquire_after_revocation):
                answer = await cluster.call(
                    "POST",
                    "/charts/7",
                    b"x",
                    request_id="r1",
                    authorization=bearer("key-of-survey"),
                )
            self.assertEqual(401, answer.code)
            self.assertEqual([], runs_of(cluster))

        with_cluster(scenario)

    def test_no_log_line_contains_a_key(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await set_keys(cluster, 2, KEYS)
            lines: list[str] = []
            log = cluster.gateways[0].front._log

            def record(event: object, fields: dict[str, object]) -> None:
                lines.append(f"{event} {fields}")

            with mock.patch.object(log, "emit", record):
                for key in ("key-of-survey", "key-that-nobody-holds"):
                    await cluster.call(
                        "POST", "/charts/7", b"x", request_id="r1", authorization=bearer(key)
                    )
            self.assertNotEqual([], lines)
            self.assertNotIn("key-", "".join(lines))

        with_cluster(scenario)


class JobTenantTest(testtools.TestCase):
    """Batch jobs belong to the tenant that submitted them."""

    def test_items_run_for_the_tenant_of_the_job_and_any_of_its_keys_reads_them(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await set_keys(cluster, 2, KEYS)
            first, second = (bearer(key) for key in KEYS["harbour"])
            answer = await cluster.submit("job", ["a", "b"], authorization=first)
            self.assertEqual(202, answer.code)
            again = await cluster.submit("job", ["a", "b"], authorization=second)
            self.assertEqual(202, again.code)
            results = await cluster.results("job", 2, gateway=1, authorization=second)
            self.assertEqual({"a", "b"}, {result[0] for result in results})
            runs = [run for run in runs_of(cluster) if run[0] in ("a", "b")]
            self.assertEqual({"a", "b"}, {request_id for request_id, _ in runs})
            for _, headers in runs:
                self.assertEqual("harbour", headers[TENANT_HEADER])
                self.assertNotIn("Authorization", headers)

        with_cluster(scenario)

    def test_a_job_of_another_tenant_is_answered_like_one_that_never_was(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await set_keys(cluster, 2, KEYS)
            owner, other = bearer("key-of-harbour-1"), bearer("key-of-survey")
            await cluster.submit("job", ["a"], authorization=owner)
            await cluster.results("job", 1, authorization=owner)
            for method, target in (
                ("GET", "/v1/jobs/{}/results?position=0&wait_s=0"),
                ("GET", "/v1/jobs/{}/items/a"),
                ("DELETE", "/v1/jobs/{}"),
            ):
                answers = [
                    await cluster.call(method, target.format(job), authorization=other)
                    for job in ("job", "none")
                ]
                self.assertEqual([404, 404], [answer.code for answer in answers])
                self.assertEqual(answers[0].body, answers[1].body)
            read = await cluster.call(
                "GET", "/v1/jobs/job/results?position=0&wait_s=0", authorization=owner
            )
            self.assertEqual(200, read.code)

        with_cluster(scenario)

    def test_texts_of_one_tenant_are_not_given_to_another_that_submits_the_same_item(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await set_keys(cluster, 2, KEYS)
            owner, other = bearer("key-of-harbour-1"), bearer("key-of-survey")
            for job, key in (("one", owner), ("two", other)):
                await cluster.submit(job, ["a"], authorization=key)
                await cluster.results(job, 1, authorization=key)
            runs = [headers for request_id, headers in runs_of(cluster) if request_id == "a"]
            self.assertEqual({"harbour", "survey"}, {headers[TENANT_HEADER] for headers in runs})

        with_cluster(scenario)

    def test_a_key_that_is_taken_away_ends_no_job(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await set_keys(cluster, 2, KEYS)
            first, second = (bearer(key) for key in KEYS["harbour"])
            samplers: list[HttpSampler] = list(cluster.samplers.values())
            for sampler in samplers:
                sampler.faults.refuse = True
            await cluster.submit("job", ["a"], authorization=first)
            await set_keys(cluster, 3, {**KEYS, "harbour": KEYS["harbour"][1:]})
            refused = await cluster.call(
                "GET", "/v1/jobs/job/results?position=0&wait_s=0", authorization=first
            )
            self.assertEqual(401, refused.code)
            for sampler in samplers:
                sampler.faults.refuse = False
            results = await cluster.results("job", 1, authorization=second)
            self.assertEqual(["a"], [result[0] for result in results])

        with_cluster(scenario)
