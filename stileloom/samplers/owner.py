"""The owner of samplers: polls their load, runs generations on them, passes orders on.

Each sampler has one owner node by rendezvous hashing. Two nodes that disagree for a moment
about who owns a sampler do no harm: orders are fenced, and the ledger takes one sample a
slot.
"""

from __future__ import annotations

import msgspec

from stileloom import constants
from stileloom.api.engine import GenerateRequest, LoadReport, StreamChunk, StreamEnd
from stileloom.api.objects import SamplerRole
from stileloom.api.samples import Sample, Segment, extend_segments, oldest_version
from stileloom.effects import Effect, Emit, Send
from stileloom.events import LogEvent
from stileloom.ledger.commands import CommandResult, CommitSample, Done, SampleRefused
from stileloom.samplers.effects import CloseStream, OpenStream, QueryLoad, SendOrder
from stileloom.samplers.messages import (
    GenerationFinished,
    GenerationInterrupted,
    GenerationKey,
    LoadRow,
    OrderSampler,
    PartialGeneration,
    RunningGeneration,
    RunningReport,
    SamplerReport,
    StartGeneration,
    StopGeneration,
)
from stileloom.samplers.table import differs

LOAD_SILENCE_S = 2.0
"""A sampler that did not answer for this long is reported as unreachable."""
RUNNING_REPORT_S = 2.0


class CommitWanted(msgspec.Struct, frozen=True):
    """Submit this to the ledger; answer with `committed(key, result)`."""

    key: GenerationKey
    command: CommitSample


class _Generation(msgspec.Struct):
    """A generation under way."""

    order: StartGeneration
    request_id: str
    tokens: list[int]
    segments: list[Segment]
    committing: bool = False


def _request_id(key: GenerationKey) -> str:
    return f"{key.round_name}/{key.slot}/{key.attempt}"


def _commit_wanted(generation: _Generation) -> CommitWanted:
    """Offers a finished generation to the ledger."""
    key = generation.order.key
    sample = Sample(
        key.slot,
        key.attempt,
        generation.order.prompt.prompt_id,
        generation.tokens,
        generation.segments,
    )
    return CommitWanted(key, CommitSample(key.round_name, sample))


class _OwnedSampler(msgspec.Struct):
    """What the owner knows of one of its samplers."""

    load: LoadReport | None = None
    heard_at: float = float("-inf")
    owned_since: float = float("-inf")
    next_poll_at: float = float("-inf")
    polling_since: float | None = None


class SamplerOwner:
    """The samplers that this node owns, and the generations that it runs."""

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._owned: dict[str, _OwnedSampler] = {}
        self._generations: dict[str, _Generation] = {}
        self._next_gateway_report_at = float("-inf")
        self._next_controller_report_at = float("-inf")
        self._next_running_report_at = float("-inf")
        self._reported_to: str | None = None

    @property
    def owned(self) -> list[str]:
        """Ids of the samplers owned now."""
        return sorted(self._owned)

    @property
    def running_count(self) -> int:
        """Generations under way."""
        return len(self._generations)

    def report_soon(self) -> None:
        """Those who route to the samplers have changed: they know no load yet."""
        self._next_gateway_report_at = float("-inf")

    def set_owned(self, now: float, sampler_ids: set[str]) -> None:
        """Takes the outcome of the hashing; generations under way are finished regardless."""
        for sampler_id in sampler_ids - self._owned.keys():
            self._owned[sampler_id] = _OwnedSampler(owned_since=now)
        for sampler_id in self._owned.keys() - sampler_ids:
            del self._owned[sampler_id]

    def tick(self, now: float, leader: str | None, gateways: dict[str, list[str]]) -> list[Effect]:
        """Polls and reports. `gateways` gives, by sampler, the nodes that route to it."""
        effects: list[Effect] = []
        for sampler_id, owned in self._owned.items():
            if now >= owned.next_poll_at:
                owned.next_poll_at = now + constants.LOAD_POLL_S
                effects.append(QueryLoad(sampler_id))
        if now >= self._next_gateway_report_at:
            self._next_gateway_report_at = now + constants.GATEWAY_REPORT_S
            effects += self._report_to_gateways(now, gateways)
        if leader is not None and now >= self._next_controller_report_at:
            self._next_controller_report_at = now + constants.CONTROLLER_REPORT_S
            effects += self._report(now, {leader: set(self._owned)})
        new_leader = leader is not None and leader != self._reported_to
        if leader is not None and (now >= self._next_running_report_at or new_leader):
            self._next_running_report_at = now + RUNNING_REPORT_S
            self._reported_to = leader
            effects.append(Send(leader, RunningReport(self.running())))
        return effects

    def running(self) -> list[RunningGeneration]:
        """Every generation under way."""
        return [
            RunningGeneration(
                generation.order.key,
                generation.order.sampler_id,
                len(generation.tokens),
                oldest_version(generation.segments),
            )
            for generation in self._generations.values()
        ]

    def load_reported(self, now: float, sampler_id: str, load: LoadReport | None) -> None:
        """An engine answered a load query, or did not (None)."""
        owned = self._owned.get(sampler_id)
        if owned is None or load is None:
            return
        if owned.load is not None and differs(owned.load, load):
            # Others wait for this: a swap is done, or the sampler left its role.
            self._next_gateway_report_at = now
            self._next_controller_report_at = now
        owned.load = load
        owned.heard_at = now

    def _report_to_gateways(self, now: float, gateways: dict[str, list[str]]) -> list[Effect]:
        by_target: dict[str, set[str]] = {}
        for sampler_id in self._owned:
            for target in gateways.get(sampler_id, []):
                by_target.setdefault(target, set()).add(sampler_id)
        return self._report(now, by_target)

    def _report(self, now: float, by_target: dict[str, set[str]]) -> list[Effect]:
        rows = {
            sampler_id: LoadRow(*msgspec.structs.astuple(owned.load))
            for sampler_id, owned in self._owned.items()
            if owned.load is not None
        }
        unreachable = [
            sampler_id
            for sampler_id, owned in self._owned.items()
            if now >= max(owned.heard_at, owned.owned_since) + LOAD_SILENCE_S
        ]
        effects: list[Effect] = []
        for target in sorted(by_target):
            wanted = by_target[target]
            report = SamplerReport(
                [row for sampler_id, row in rows.items() if sampler_id in wanted],
                [sampler_id for sampler_id in unreachable if sampler_id in wanted],
            )
            if report.loads or report.unreachable:
                effects.append(Send(target, report))
        return effects

    # Orders and generations.

    def handle(self, now: float, sender: str, message: object) -> list[Effect]:
        """Takes one message of the controller."""
        if isinstance(message, OrderSampler):
            return [SendOrder(message.sampler_id, message.order)]
        if isinstance(message, StartGeneration):
            return self._start(message)
        if isinstance(message, StopGeneration):
            return self._stop(message.key)
        return []

    def _start(self, message: StartGeneration) -> list[Effect]:
        key = message.key
        request_id = _request_id(key)
        if request_id in self._generations:
            return []
        partial = message.partial
        self._generations[request_id] = _Generation(
            message, request_id, list(partial.tokens), list(partial.segments)
        )
        request = GenerateRequest(
            request_id=request_id,
            model=message.model,
            prompt=message.prompt.text,
            max_tokens=message.prompt.max_tokens,
            first_token=len(partial.tokens),
            priority=message.priority,
            role=SamplerRole.ROLLOUT,
            prefix_key=message.prompt.group,
        )
        return [OpenStream(message.sampler_id, request)]

    def _stop(self, key: GenerationKey) -> list[Effect]:
        request_id = _request_id(key)
        generation = self._generations.get(request_id)
        if generation is None or generation.committing:
            return []
        close = CloseStream(generation.order.sampler_id, request_id)
        return [close, *self._interrupt(request_id, failed=False)]

    def hand_over(self) -> list[Effect]:
        """Gives every generation back with its tokens, to go on at another owner."""
        effects: list[Effect] = []
        for generation in list(self._generations.values()):
            effects += self._stop(generation.order.key)
        return effects

    def owns_stream(self, request_id: str) -> bool:
        """Whether a stream belongs to a generation of this part."""
        return request_id in self._generations

    def stream_chunk(self, request_id: str, chunk: StreamChunk) -> list[Effect]:
        """Tokens arrived. A gap, or an unknown version, ends the attempt at what counts."""
        generation = self._generations.get(request_id)
        if generation is None or generation.committing:
            return []
        in_order = chunk.first_token == len(generation.tokens)
        if not in_order or chunk.weight_version is None:
            close = CloseStream(generation.order.sampler_id, request_id)
            return [close, *self._interrupt(request_id, failed=True)]
        generation.tokens.extend(chunk.tokens)
        generation.segments = extend_segments(
            generation.segments, chunk.weight_version, len(chunk.tokens)
        )
        return []

    def stream_end(self, request_id: str, end: StreamEnd) -> list[Effect]:
        """The counted last frame arrived: offers the sample to the ledger."""
        generation = self._generations.get(request_id)
        if generation is None or generation.committing:
            return []
        whole = end.token_count == len(generation.tokens) and end.finish_reason != "cancelled"
        if not whole:
            return self._interrupt(request_id, failed=True)
        generation.committing = True
        return [_commit_wanted(generation)]

    def stream_failed(self, request_id: str) -> list[Effect]:
        """The stream was refused, cut or lost."""
        generation = self._generations.get(request_id)
        if generation is None or generation.committing:
            return []
        return self._interrupt(request_id, failed=True)

    def committed(
        self, now: float, key: GenerationKey, result: CommandResult | None
    ) -> list[Effect]:
        """The ledger answered; None means that it did not in time, so it is asked again."""
        request_id = _request_id(key)
        generation = self._generations.get(request_id)
        if generation is None:
            return []
        if result is None:
            return [_commit_wanted(generation)]
        del self._generations[request_id]
        finished = GenerationFinished(
            key,
            generation.order.sampler_id,
            len(generation.tokens),
            accepted=isinstance(result, Done) and not result.duplicate,
        )
        effects = self._tell_controller(finished)
        if isinstance(result, SampleRefused):
            fields: dict[str, object] = {
                "round": key.round_name,
                "slot": key.slot,
                "detail": result.detail,
            }
            effects.append(Emit(LogEvent.SAMPLE_REFUSED, fields))
        return effects

    def _interrupt(self, request_id: str, failed: bool) -> list[Effect]:
        generation = self._generations.pop(request_id)
        partial = PartialGeneration(generation.tokens, generation.segments)
        order = generation.order
        interrupted = GenerationInterrupted(order.key, order.sampler_id, partial, failed)
        return self._tell_controller(interrupted)

    def _tell_controller(self, message: GenerationFinished | GenerationInterrupted) -> list[Effect]:
        """To whoever leads now. If it is lost, the next running report shows the loss."""
        return [Send(self._reported_to, message)] if self._reported_to is not None else []
