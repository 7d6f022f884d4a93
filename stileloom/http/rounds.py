"""Trainers: prompts, deliveries by offset, acknowledgements, weight versions."""

from __future__ import annotations

import asyncio
from typing import Annotated

import msgspec

from stileloom.api.samples import Delivery, Prompt
from stileloom.errors import ErrorKind, Outcome, StileloomError
from stileloom.http.base import ApiHandler
from stileloom.ledger.commands import (
    AcknowledgeDeliveries,
    Command,
    CommandResult,
    Done,
    PromptsAccepted,
    PublishVersion,
    Refused,
    SubmitPrompts,
)
from stileloom.rollout.messages import DeliveryAnswer, DeliveryRequest

REPEAT_READ_S = 1.0
"""A read that the leader holds is asked again this often, in case the leader changed."""
MAX_READ_WAIT_S = 30.0
MAX_READ_COUNT = 4096
MAX_PROMPTS = 4096


class PromptBody(msgspec.Struct, forbid_unknown_fields=True):
    """One prompt as a trainer submits it."""

    prompt_id: str
    text: str
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=1_048_576)]
    group: str = ""


class PromptsBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /v1/rounds/{round}/prompts`."""

    batch_id: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    """Chosen by the trainer: a repeat with the same id adds nothing."""
    prompts: Annotated[list[PromptBody], msgspec.Meta(min_length=1, max_length=MAX_PROMPTS)]


class AcknowledgementBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /v1/rounds/{round}/acknowledgements`."""

    offset: Annotated[int, msgspec.Meta(ge=0)]
    """All deliveries below it are kept by the trainer."""


class VersionBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /v1/rounds/{round}/versions`."""

    version: Annotated[int, msgspec.Meta(ge=1)]


class SegmentResult(msgspec.Struct):
    """A run of tokens of one weight version."""

    weight_version: int
    first_token: int
    token_count: int


class DeliveryResult(msgspec.Struct):
    """One delivered sample."""

    offset: int
    slot: int
    attempt: str
    prompt_id: str
    tokens: list[int]
    segments: list[SegmentResult]
    handed_over_at_version: int


class DeliveriesResult(msgspec.Struct):
    """Answer to a read: the whole range asked for, or nothing yet."""

    deliveries: list[DeliveryResult]
    current_version: int | None


class RoundHandler(ApiHandler):
    """What the handlers of a round share."""

    async def command(self, command: Command) -> CommandResult:
        """Submits a command. Raises `StileloomError` where it is refused."""
        result = await self.shell.command(command)
        if isinstance(result, Refused):
            raise StileloomError(result.kind, result.detail)
        return result


class PromptsHandler(RoundHandler):
    """`POST /v1/rounds/{round}/prompts`."""

    async def post(self, round_name: str) -> None:
        """Adds prompts to a round."""
        body = self.body_as(PromptsBody)
        prompts = [Prompt(p.prompt_id, p.text, p.max_tokens, p.group) for p in body.prompts]
        result = await self.command(SubmitPrompts(round_name, body.batch_id, prompts))
        assert isinstance(result, PromptsAccepted)
        self.answer({"first_slot": result.first_slot, "count": result.count})


class AcknowledgementsHandler(RoundHandler):
    """`POST /v1/rounds/{round}/acknowledgements`."""

    async def post(self, round_name: str) -> None:
        """Acknowledges deliveries by offset."""
        body = self.body_as(AcknowledgementBody)
        await self.command(AcknowledgeDeliveries(round_name, body.offset))
        self.answer({"acknowledged": body.offset})


class VersionsHandler(RoundHandler):
    """`POST /v1/rounds/{round}/versions`."""

    async def post(self, round_name: str) -> None:
        """Publishes a weight version; a lower or equal one changes nothing."""
        body = self.body_as(VersionBody)
        result = await self.command(PublishVersion(round_name, body.version))
        self.answer({"published": not (isinstance(result, Done) and result.duplicate)})


class DeliveriesHandler(RoundHandler):
    """`GET /v1/rounds/{round}/deliveries?offset=&count=&wait_s=`."""

    async def get(self, round_name: str) -> None:
        """Reads deliveries; waits until the whole range is there or the wait is over."""
        offset = int(self.number_argument("offset"))
        count = int(self.number_argument("count"))
        wait_s = min(MAX_READ_WAIT_S, self.number_argument("wait_s", 0.0))
        if offset < 0 or not 1 <= count <= MAX_READ_COUNT:
            raise StileloomError(
                ErrorKind.BAD_REQUEST, f"offset >= 0 and count in 1..{MAX_READ_COUNT} expected"
            )
        answer = await self._read(round_name, offset, count, wait_s)
        if answer is None or answer.page is None:
            self.answer(DeliveriesResult([], None))
            return
        deliveries = [delivery_result(delivery) for delivery in answer.page.deliveries]
        self.answer(DeliveriesResult(deliveries, answer.page.current_version))

    async def _read(
        self, round_name: str, offset: int, count: int, wait_s: float
    ) -> DeliveryAnswer | None:
        shell = self.shell
        ticket = shell.waiters.next_ticket()
        request = DeliveryRequest(ticket, round_name, offset, count)
        future = shell.waiters.expect_delivery(ticket)
        give_up_at = shell.now() + wait_s
        while True:
            shell.run(shell.core.request_deliveries(shell.now(), request))
            left_s = max(0.05, give_up_at - shell.now())
            try:
                async with asyncio.timeout(min(REPEAT_READ_S, left_s)):
                    answer = await asyncio.shield(future)
            except TimeoutError:
                if shell.now() >= give_up_at:
                    return None
                continue
            if answer.refused is not None:
                raise StileloomError(answer.refused, f"round {round_name!r}", Outcome.NOT_RUN)
            if not answer.not_leader:
                return answer
            if shell.now() >= give_up_at:
                return None
            future = shell.waiters.expect_delivery(ticket)
            await asyncio.sleep(0.1)


def delivery_result(delivery: Delivery) -> DeliveryResult:
    sample = delivery.sample
    return DeliveryResult(
        offset=delivery.offset,
        slot=sample.slot,
        attempt=sample.attempt,
        prompt_id=sample.prompt_id,
        tokens=sample.tokens,
        segments=[
            SegmentResult(s.weight_version, s.first_token, s.token_count) for s in sample.segments
        ],
        handed_over_at_version=delivery.handed_over_at_version,
    )
