"""Invalid requests to the HTTP API: problem documents with code and outcome."""

from __future__ import annotations

import json
import random
from typing import Any

import tornado.testing
from tornado.httpclient import HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.web import Application

from stileloom.api.objects import Configuration, Machine, Pool, SamplerRole, Service
from stileloom.daemon.platform_client import MachineList, ObjectApi
from stileloom.daemon.shell import Shell
from stileloom.errors import ErrorKind
from stileloom.http.application import make_application
from stileloom.ledger.commands import Refused
from stileloom.logging import EventLog, configure_logs
from stileloom.membership import Member
from stileloom.node import NodeCore
from stileloom.settings import LimitSettings, NodeSettings, PlatformSettings

MAX_BODY_BYTES = 2048


def settings() -> NodeSettings:
    """Settings with a small body limit and platform addresses on which nothing listens."""
    return NodeSettings(
        node_id="n",
        zone="a",
        region="r",
        port=1,
        http_port=1,
        platform=PlatformSettings("127.0.0.1:1", "127.0.0.1:1"),
        limits=LimitSettings(max_body_bytes=MAX_BODY_BYTES),
    )


class InvalidRequestTest(tornado.testing.AsyncHTTPTestCase):
    """A single node with a configuration, without reachable samplers."""

    def get_app(self) -> Application:
        configure_logs("error")
        member = Member("n", "a", "r", "127.0.0.1", 1, 1, 1)
        core = NodeCore(member, [], random.Random(1), 0.0)
        core.configuration.store.adopt(
            0.0,
            Configuration(
                1,
                pools={"p": Pool(SamplerRole.LOOKUP, "m")},
                services={"charts": Service("p")},
            ),
        )
        core.table.set_machines([Machine("s", "p", "a", "127.0.0.1", 1)])
        api = ObjectApi("127.0.0.1:1")
        self.shell = Shell(core, EventLog("n"), api, MachineList("127.0.0.1:1"), None)
        return make_application(self.shell, settings())

    def get_http_server(self) -> HTTPServer:
        return HTTPServer(self._app, max_body_size=MAX_BODY_BYTES * 64)

    def send(
        self, path: str, body: bytes | None = b"{}", method: str = "POST", **headers: str
    ) -> HTTPResponse:
        """Sends one request; underscores in header names stand for hyphens."""
        header_fields = {name.replace("_", "-"): value for name, value in headers.items()}
        return self.fetch(path, method=method, body=body, headers=header_fields, raise_error=False)

    def assert_problem(
        self, response: HTTPResponse, status: int, code: str, outcome: str = "not_run"
    ) -> dict[str, Any]:
        """Asserts that the response is a problem document with this code; returns it."""
        problem: dict[str, Any] = json.loads(response.body)
        self.assertEqual(status, response.code, problem)
        self.assertEqual(code, problem["code"])
        self.assertEqual(outcome, problem["outcome"])
        self.assertEqual(outcome, response.headers["X-Outcome"])
        self.assertEqual("application/problem+json", response.headers["Content-Type"])
        return problem

    lookup = "/v1/services/charts/lookup"

    def test_truncated_body(self) -> None:
        self.assert_problem(self.send(self.lookup, b'{"query": "par'), 400, "bad_request")

    def test_invalid_body_is_rejected_with_path(self) -> None:
        response = self.send(self.lookup, b'{"query": 7}')
        self.assertIn("$.query", self.assert_problem(response, 400, "bad_request")["detail"])
        unknown = self.send(self.lookup, b'{"query": "q", "colour": 1}')
        self.assertIn("colour", self.assert_problem(unknown, 400, "bad_request")["detail"])

    def test_body_over_the_limit(self) -> None:
        body = json.dumps({"query": "x" * MAX_BODY_BYTES}).encode()
        self.assert_problem(self.send(self.lookup, body), 413, "body_too_large")

    def test_unknown_service_and_path(self) -> None:
        body = b'{"query": "q"}'
        self.assert_problem(self.send("/v1/services/no/lookup", body), 404, "unknown_service")
        self.assert_problem(self.send("/v2/anything", body), 400, "bad_request")

    def test_expired_deadline(self) -> None:
        response = self.send(self.lookup, b'{"query": "q"}', X_Deadline_Ms="-5")
        self.assert_problem(response, 504, "deadline_passed")

    def test_invalid_headers(self) -> None:
        for headers in ({"X_Priority": "high"}, {"X_Repeatable": "maybe"}, {"X_Deadline_Ms": "x"}):
            response = self.send(self.lookup, b'{"query": "q"}', **headers)
            self.assert_problem(response, 400, "bad_request")

    def test_missing_sampler_sets_retry_after(self) -> None:
        response = self.send(self.lookup, b'{"query": "q"}')
        self.assert_problem(response, 503, "no_sampler")
        self.assertEqual("2", response.headers["Retry-After"])

    def test_idempotency_key_with_another_body(self) -> None:
        refused = Refused(ErrorKind.KEY_REUSED, "another body")
        core = self.shell.core
        original = core.gateway.submit

        def submit(now: float, request: Any, view: Any) -> Any:
            """Replaces the reply of the ledger, which test_ledger.py covers."""
            original(now, request, view)
            return core.gateway.on_claim_result(now, request.request_id, refused, view)

        core.gateway.submit = submit  # type: ignore[method-assign]
        response = self.send(self.lookup, b'{"query": "q"}', Idempotency_Key="k")
        self.assert_problem(response, 422, "key_reused")

    def test_draining(self) -> None:
        self.shell.run(self.shell.core.drain(0.0))
        self.assert_problem(self.send(self.lookup, b'{"query": "q"}'), 503, "draining")
        ready = self.fetch("/readyz", raise_error=False)
        self.assert_problem(ready, 503, "draining")

    def test_invalid_policy_is_rejected_with_position(self) -> None:
        body = json.dumps({"priority": "request.size > 1"}).encode()
        response = self.send("/v1/objects/policy/p", body, method="PUT")
        problem = self.assert_problem(response, 422, "policy_invalid")
        self.assertIn("priority: line 1, column 9", problem["detail"])

    def test_invalid_object_is_rejected_with_path(self) -> None:
        response = self.send("/v1/objects/round/r", b'{"pool": 3}', method="PUT")
        self.assertIn("$.pool", self.assert_problem(response, 422, "object_invalid")["detail"])
        other = self.send("/v1/objects/fruit/r", b"{}", method="PUT")
        self.assert_problem(other, 404, "unknown_object")

    def test_unavailable_object_api_gives_unknown_outcome(self) -> None:
        body = json.dumps({"home_role": "lookup", "model": "m"}).encode()
        response = self.send("/v1/objects/pool/p", body, method="PUT")
        self.assert_problem(response, 503, "platform_unavailable", outcome="unknown")

    def test_probes_and_metrics(self) -> None:
        self.assertEqual(200, self.fetch("/healthz").code)
        self.assertEqual(200, self.fetch("/readyz").code)
        self.assertIn(b"stileloom_lookups_open 0.0", self.fetch("/metrics").body)
