"""Typed HTTP client for trainers, callers and operators.

Fails over between the given gateways. Trainer calls are idempotent and are retried until they
succeed, fail permanently or `give_up_s` has elapsed.
"""

from __future__ import annotations

import asyncio
from typing import TypeVar

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from stileloom.clock import steady_time
from stileloom.errors import ErrorKind, Outcome, Problem, StileloomError
from stileloom.http.lookups import LookupResult
from stileloom.http.rounds import DeliveriesResult, PromptBody, PromptsBody

REQUEST_TIMEOUT_S = 12.0
CONNECT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.2
LONG_POLL_TIMEOUT_S = 5.0

ResultType = TypeVar("ResultType")


class HttpCaller:
    """Sends requests to one gateway, and moves to the next one after a failure."""

    def __init__(self, gateways: list[str]) -> None:
        self._gateways = gateways
        self._gateway_index = 0
        self._http = AsyncHTTPClient(force_instance=True, max_clients=512)

    async def call(
        self,
        method: str,
        path: str,
        body: object | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> HTTPResponse:
        """Sends one request to the current gateway.

        Raises `StileloomError`: the error returned by the gateway, or PLATFORM_UNAVAILABLE if there
        was no valid response; its outcome is unknown, or not_run if the connection was refused.
        """
        gateway = self._gateways[self._gateway_index % len(self._gateways)]
        request = HTTPRequest(
            f"http://{gateway}{path}",
            method=method,
            body=msgspec.json.encode(body) if body is not None else None,
            headers=headers,
            request_timeout=timeout_s,
            connect_timeout=CONNECT_TIMEOUT_S,
        )
        try:
            return await self._http.fetch(request)
        except HTTPClientError as error:
            self._gateway_index += 1
            raise _error_from_response(error) from error
        except OSError as error:
            self._gateway_index += 1
            refused = isinstance(error, ConnectionRefusedError)
            outcome = Outcome.NOT_RUN if refused else Outcome.UNKNOWN
            raise StileloomError(ErrorKind.PLATFORM_UNAVAILABLE, str(error), outcome) from error

    async def call_until_answered(
        self,
        method: str,
        path: str,
        kind: type[ResultType],
        body: object | None = None,
        give_up_s: float = 60.0,
    ) -> ResultType:
        """Retries an idempotent request.

        Raises `StileloomError` on a permanent error, or the last error after `give_up_s`.
        """
        deadline = steady_time() + give_up_s
        while True:
            try:
                response = await self.call(method, path, body)
                return msgspec.json.decode(response.body, type=kind)
            except StileloomError as error:
                status = error.response.http_status
                permanent = 400 <= status < 500 and error.kind is not ErrorKind.UNKNOWN_ROUND
                if permanent or steady_time() >= deadline:
                    raise
            await asyncio.sleep(RETRY_DELAY_S)


class TrainerClient:
    """Client for the trainer of one round."""

    def __init__(self, gateways: list[str], round_name: str, give_up_s: float = 60.0) -> None:
        self._caller = HttpCaller(gateways)
        self._path = f"/v1/rounds/{round_name}"
        self._give_up_s = give_up_s

    async def submit_prompts(self, batch_id: str, prompts: list[PromptBody]) -> None:
        """Submits prompts; idempotent for the same batch id."""
        body = PromptsBody(batch_id, prompts)
        await self._post("prompts", body)

    async def read(self, offset: int, count: int) -> DeliveriesResult:
        """Waits until `count` deliveries starting at `offset` are available."""
        path = f"{self._path}/deliveries?offset={offset}&count={count}&wait_s={LONG_POLL_TIMEOUT_S}"
        deadline = steady_time() + self._give_up_s
        while True:
            result = await self._caller.call_until_answered(
                "GET", path, DeliveriesResult, give_up_s=self._give_up_s
            )
            if result.deliveries:
                return result
            if steady_time() >= deadline:
                raise StileloomError(
                    ErrorKind.OVERLOADED, "the batch was not complete before the timeout"
                )

    async def acknowledge(self, offset: int) -> None:
        """Acknowledges all deliveries below `offset`."""
        await self._post("acknowledgements", {"offset": offset})

    async def publish_version(self, version: int) -> None:
        """Makes a version current; its weights must already be in the store."""
        await self._post("versions", {"version": version})

    async def _post(self, name: str, body: object) -> None:
        path = f"{self._path}/{name}"
        await self._caller.call_until_answered("POST", path, dict, body, give_up_s=self._give_up_s)


class LookupClient:
    """Sends lookups without retries; callers decide how to handle the outcome."""

    def __init__(self, gateways: list[str]) -> None:
        self._caller = HttpCaller(gateways)

    async def lookup(
        self,
        service: str,
        query: str,
        max_tokens: int,
        headers: dict[str, str] | None = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> LookupResult:
        """Sends a lookup. Raises `StileloomError` with its outcome."""
        body = {"query": query, "max_tokens": max_tokens}
        response = await self._caller.call(
            "POST", f"/v1/services/{service}/lookup", body, headers, timeout_s
        )
        return msgspec.json.decode(response.body, type=LookupResult)


def _error_from_response(error: HTTPClientError) -> StileloomError:
    """Decodes a problem document; without a valid one the outcome is unknown."""
    if error.response is None or not error.response.body:
        return StileloomError(ErrorKind.PLATFORM_UNAVAILABLE, str(error), Outcome.UNKNOWN)
    try:
        problem = msgspec.json.decode(error.response.body, type=Problem)
        kind = ErrorKind(problem.code)
        outcome = Outcome(problem.outcome)
    except (msgspec.DecodeError, ValueError):
        return StileloomError(ErrorKind.PLATFORM_UNAVAILABLE, str(error), Outcome.UNKNOWN)
    return StileloomError(kind, problem.detail, outcome, problem.retry_after_s)
