"""Client endpoints: lookups, and completions in the style of the OpenAI API."""

from __future__ import annotations

import uuid
from typing import Annotated

import msgspec
import xxhash

from stileloom import constants
from stileloom.errors import ErrorKind, StileloomError, problem_document
from stileloom.http.base import ApiHandler
from stileloom.routing import LookupAnswer, LookupRequest, TokensReady

MAX_PRIORITY = 100
MAX_TOKENS_LIMIT = 65_536
MaxTokens = Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS_LIMIT)]


class LookupBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /v1/services/{service}/lookup`."""

    query: str
    max_tokens: MaxTokens | None = None
    prefix_key: str = ""
    """Identifies a shared prompt prefix."""


class CompletionBody(msgspec.Struct):
    """Body of `POST /v1/completions`; unknown fields are ignored."""

    model: str
    """Name of the service."""
    prompt: str
    max_tokens: MaxTokens | None = None
    stream: bool = False


class LookupResult(msgspec.Struct):
    """Response to a lookup."""

    request_id: str
    outcome: str
    tokens: list[int]
    token_count: int
    finish_reason: str
    weight_versions: list[int]
    revision: int
    revision_age_s: float
    """Time since the configuration lease expired; 0 while it is valid."""


class CompletionChoice(msgspec.Struct):
    """The only choice of a completion. `text` lists token ids, as there is no tokenizer."""

    index: int
    tokens: list[int]
    text: str
    finish_reason: str | None


class CompletionUsage(msgspec.Struct):
    """Token counts of a completion."""

    completion_tokens: int


class CompletionResult(msgspec.Struct):
    """A completion or an event of a streamed completion; only the last event has `usage`."""

    id: str
    object: str
    model: str
    choices: list[CompletionChoice]
    usage: CompletionUsage | None = None
    outcome: str | None = None
    weight_versions: list[int] | None = None


class BaseLookupHandler(ApiHandler):
    """Base of the lookup and completion handlers."""

    def prepare(self) -> None:
        """Generates the request id."""
        super().prepare()
        self.request_id = f"{self.shell.core.node_id}/{uuid.uuid4().hex}"

    def on_connection_close(self) -> None:
        """Cancels the lookup when the client disconnects."""
        if hasattr(self, "request_id"):
            shell = self.shell
            shell.run(shell.core.cancel_lookup(shell.now(), self.request_id))

    def build_request(
        self, service: str, prompt: str, max_tokens: int | None, prefix_key: str, stream: bool
    ) -> LookupRequest:
        """Validates the headers and builds the request.

        Raises `StileloomError` (BAD_REQUEST, DEADLINE_PASSED).
        """
        headers = self.request.headers
        key = headers.get("Idempotency-Key", "")
        configuration = self.shell.core.configuration.store.configuration
        known_service = configuration.services.get(service) if configuration is not None else None
        default = known_service.default_max_tokens if known_service is not None else 1
        return LookupRequest(
            request_id=self.request_id,
            service=service,
            prompt=prompt,
            max_tokens=max_tokens or default,
            tenant=headers.get("X-Tenant", "anonymous"),
            priority=self._parse_priority(),
            repeatable=self._parse_repeatable(),
            deadline_at=self.shell.now() + self._parse_remaining_s(),
            idempotency_key=key,
            body_digest=xxhash.xxh3_64_intdigest(f"{service}\x00{prompt}\x00{max_tokens}".encode())
            >> 1,
            prefix_key=prefix_key,
            stream=stream,
        )

    def _parse_priority(self) -> int:
        text = self.request.headers.get("X-Priority", "50")
        if not text.isdecimal() or int(text) > MAX_PRIORITY:
            raise StileloomError(ErrorKind.BAD_REQUEST, f"X-Priority: expected 0..{MAX_PRIORITY}")
        return int(text)

    def _parse_repeatable(self) -> bool:
        text = self.request.headers.get("X-Repeatable", "true")
        if text not in ("true", "false"):
            raise StileloomError(ErrorKind.BAD_REQUEST, "X-Repeatable: expected true or false")
        return text == "true"

    def _parse_remaining_s(self) -> float:
        text = self.request.headers.get("X-Deadline-Ms")
        if text is None:
            return constants.DEFAULT_DEADLINE_S
        try:
            remaining_s = float(text) / 1000.0
        except ValueError as error:
            raise StileloomError(ErrorKind.BAD_REQUEST, "X-Deadline-Ms: not a number") from error
        if not remaining_s > 0:
            raise StileloomError(ErrorKind.DEADLINE_PASSED, "X-Deadline-Ms is not positive")
        return remaining_s

    async def run_lookup(self, request: LookupRequest) -> LookupAnswer:
        """Submits a request and waits for its final result. Raises `StileloomError`."""
        shell = self.shell
        waiter = shell.waiters.expect_lookup(request.request_id)
        shell.run(shell.core.submit_lookup(shell.now(), request))
        while True:
            event = await waiter.events.get()
            if isinstance(event, TokensReady):
                self.on_tokens(event)
                continue
            if event.error is not None:
                raise event.error
            return event

    def on_tokens(self, event: TokensReady) -> None:
        """Called for each group of tokens; ignored unless the response is streamed."""


class LookupHandler(BaseLookupHandler):
    """`POST /v1/services/{service}/lookup`."""

    async def post(self, service: str) -> None:
        """Runs one lookup."""
        body = self.parse_body(LookupBody)
        request = self.build_request(service, body.query, body.max_tokens, body.prefix_key, False)
        answer = await self.run_lookup(request)
        self.set_header("X-Outcome", answer.outcome.value)
        self.send_json(
            LookupResult(
                request_id=answer.request_id,
                outcome=answer.outcome.value,
                tokens=answer.tokens,
                token_count=len(answer.tokens),
                finish_reason=answer.finish_reason,
                weight_versions=answer.weight_versions,
                revision=answer.revision,
                revision_age_s=round(answer.revision_age_s, 3),
            )
        )


class CompletionHandler(BaseLookupHandler):
    """`POST /v1/completions`."""

    async def post(self) -> None:
        """Runs one completion and streams its tokens if requested."""
        body = self.parse_body(CompletionBody)
        self._model = body.model
        self._stream_started = False
        request = self.build_request(body.model, body.prompt, body.max_tokens, "", body.stream)
        try:
            answer = await self.run_lookup(request)
        except StileloomError as error:
            if not self._stream_started:
                raise
            # The status line has been sent, so the error is reported as the last event.
            self._write_event(msgspec.json.encode(problem_document(error)))
            await self.finish()
            return
        if body.stream:
            self._finish_stream(answer)
            return
        self.set_header("X-Outcome", answer.outcome.value)
        self.send_json(self._completion_result(answer.tokens, answer))

    def on_tokens(self, event: TokensReady) -> None:
        """Sends tokens as a server-sent event."""
        self._start_stream()
        self._write_event(msgspec.json.encode(self._completion_result(event.tokens, None)))

    def _start_stream(self) -> None:
        if not self._stream_started:
            self._stream_started = True
            self.set_header("Content-Type", "text/event-stream")
            self.set_header("Cache-Control", "no-store")

    def _finish_stream(self, answer: LookupAnswer) -> None:
        self._start_stream()
        self._write_event(msgspec.json.encode(self._completion_result([], answer)))
        self._write_event(b"[DONE]")
        self.finish()

    def _write_event(self, body: bytes) -> None:
        self.write(b"data: " + body + b"\n\n")
        self.flush()

    def _completion_result(
        self, tokens: list[int], answer: LookupAnswer | None
    ) -> CompletionResult:
        finish_reason = answer.finish_reason if answer is not None else None
        choice = CompletionChoice(0, tokens, " ".join(map(str, tokens)), finish_reason)
        result = CompletionResult(self.request_id, "text_completion", self._model, [choice])
        if answer is not None:
            result.usage = CompletionUsage(len(answer.tokens))
            result.outcome = answer.outcome.value
            result.weight_versions = answer.weight_versions
        return result
