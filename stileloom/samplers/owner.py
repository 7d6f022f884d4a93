"""Owns samplers: polls their load, runs generations on them and forwards orders.

Each sampler has one owner node, assigned by rendezvous hashing. Two nodes that briefly disagree on
the owner are harmless: orders are fenced, and the ledger accepts one sample per slot.
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
from stileloom.samplers.table import state_changed

UNRESPONSIVE_AFTER_S = 2.0
"""A sampler that has not responded for this long is reported as unreachable."""
RUNNING_REPORT_INTERVAL_S = 2.0


class CommitSampleRequest(msgspec.Struct, frozen=True):
    """Requests a ledger commit; answered by `committed(key, result)`."""

    key: GenerationKey
    command: CommitSample


class _Generation(msgspec.Struct):
    """A generation in progress."""

    order: StartGeneration
    request_id: str
    tokens: list[int]
    segments: list[Segment]
    committing: bool = False


def _request_id(key: GenerationKey) -> str:
    return f"{key.round_name}/{key.slot}/{key.attempt}"


def _commit_request(generation: _Generation) -> CommitSampleRequest:
    """The commit request for a finished generation."""
    key = generation.order.key
    sample = Sample(
        key.slot,
        key.attempt,
        generation.order.prompt.prompt_id,
        generation.tokens,
        generation.segments,
    )
    return CommitSampleRequest(key, CommitSample(key.round_name, sample))


class _OwnedSampler(msgspec.Struct):
    """State of one owned sampler."""

    load: LoadReport | None = None
    last_contact_at: float = float("-inf")
    owned_since: float = float("-inf")
    next_poll_at: float = float("-inf")
    polling_since: float | None = None


class SamplerOwner:
    """The samplers that a node owns, and the generations that it runs."""

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._owned: dict[str, _OwnedSampler] = {}
        self._generations: dict[str, _Generation] = {}
        self._next_gateway_report_at = float("-inf")
        self._next_controller_report_at = float("-inf")
        self._next_running_report_at = float("-inf")
        self._controller: str | None = None

    @property
    def owned(self) -> list[str]:
        """Ids of the currently owned samplers."""
        return sorted(self._owned)

    @property
    def running_count(self) -> int:
        """Number of generations in progress."""
        return len(self._generations)

    def schedule_report(self) -> None:
        """Reports to gateways at the next tick, since the set of gateways changed."""
        self._next_gateway_report_at = float("-inf")

    def set_owned_samplers(self, now: float, sampler_ids: set[str]) -> None:
        """Applies the assignment of samplers; generations on samplers that it removes continue."""
        for sampler_id in sampler_ids - self._owned.keys():
            self._owned[sampler_id] = _OwnedSampler(owned_since=now)
        for sampler_id in self._owned.keys() - sampler_ids:
            del self._owned[sampler_id]

    def tick(self, now: float, leader: str | None, gateways: dict[str, list[str]]) -> list[Effect]:
        """Polls samplers and sends reports; `gateways` lists the gateway nodes by sampler."""
        effects: list[Effect] = []
        for sampler_id, owned in self._owned.items():
            if now >= owned.next_poll_at:
                owned.next_poll_at = now + constants.LOAD_POLL_INTERVAL_S
                effects.append(QueryLoad(sampler_id))
        if now >= self._next_gateway_report_at:
            self._next_gateway_report_at = now + constants.GATEWAY_REPORT_INTERVAL_S
            effects += self._report_to_gateways(now, gateways)
        if leader is not None and now >= self._next_controller_report_at:
            self._next_controller_report_at = now + constants.CONTROLLER_REPORT_INTERVAL_S
            effects += self._report(now, {leader: set(self._owned)})
        new_leader = leader is not None and leader != self._controller
        if leader is not None and (now >= self._next_running_report_at or new_leader):
            self._next_running_report_at = now + RUNNING_REPORT_INTERVAL_S
            self._controller = leader
            effects.append(Send(leader, RunningReport(self.running())))
        return effects

    def running(self) -> list[RunningGeneration]:
        """All generations in progress."""
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
        """Handles the result of a load query; `load` is None if the engine did not respond."""
        owned = self._owned.get(sampler_id)
        if owned is None or load is None:
            return
        if owned.load is not None and state_changed(owned.load, load):
            # Weight swaps and role changes wait for this report, so it is sent at once.
            self._next_gateway_report_at = now
            self._next_controller_report_at = now
        owned.load = load
        owned.last_contact_at = now

    def _report_to_gateways(self, now: float, gateways: dict[str, list[str]]) -> list[Effect]:
        samplers_by_target: dict[str, set[str]] = {}
        for sampler_id in self._owned:
            for target in gateways.get(sampler_id, []):
                samplers_by_target.setdefault(target, set()).add(sampler_id)
        return self._report(now, samplers_by_target)

    def _report(self, now: float, samplers_by_target: dict[str, set[str]]) -> list[Effect]:
        rows = {
            sampler_id: LoadRow(*msgspec.structs.astuple(owned.load))
            for sampler_id, owned in self._owned.items()
            if owned.load is not None
        }
        unreachable = [
            sampler_id
            for sampler_id, owned in self._owned.items()
            if now >= max(owned.last_contact_at, owned.owned_since) + UNRESPONSIVE_AFTER_S
        ]
        effects: list[Effect] = []
        for target in sorted(samplers_by_target):
            sampler_ids = samplers_by_target[target]
            report = SamplerReport(
                [row for sampler_id, row in rows.items() if sampler_id in sampler_ids],
                [sampler_id for sampler_id in unreachable if sampler_id in sampler_ids],
            )
            if report.loads or report.unreachable:
                effects.append(Send(target, report))
        return effects

    # Orders and generations.

    def handle(self, now: float, sender: str, message: object) -> list[Effect]:
        """Handles a message from the controller."""
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
        """Stops all generations and sends their tokens to the controller, which has other owners
        continue them."""
        effects: list[Effect] = []
        for generation in list(self._generations.values()):
            effects += self._stop(generation.order.key)
        return effects

    def owns_stream(self, request_id: str) -> bool:
        """Whether a stream belongs to a generation of this owner."""
        return request_id in self._generations

    def stream_chunk(self, request_id: str, chunk: StreamChunk) -> list[Effect]:
        """Appends a chunk's tokens. A chunk out of order or of an unknown version is dropped and
        interrupts the attempt."""
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
        """Handles the end of a stream: commits the sample if it is complete."""
        generation = self._generations.get(request_id)
        if generation is None or generation.committing:
            return []
        complete = end.token_count == len(generation.tokens) and end.finish_reason != "cancelled"
        if not complete:
            return self._interrupt(request_id, failed=True)
        generation.committing = True
        return [_commit_request(generation)]

    def stream_failed(self, request_id: str) -> list[Effect]:
        """Handles a stream that was refused, aborted or lost."""
        generation = self._generations.get(request_id)
        if generation is None or generation.committing:
            return []
        return self._interrupt(request_id, failed=True)

    def committed(
        self, now: float, key: GenerationKey, result: CommandResult | None
    ) -> list[Effect]:
        """Handles the ledger's result; after a timeout (None) the commit is retried."""
        request_id = _request_id(key)
        generation = self._generations.get(request_id)
        if generation is None:
            return []
        if result is None:
            return [_commit_request(generation)]
        del self._generations[request_id]
        finished = GenerationFinished(
            key,
            generation.order.sampler_id,
            len(generation.tokens),
            accepted=isinstance(result, Done) and not result.duplicate,
        )
        effects = self._notify_controller(finished)
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
        return self._notify_controller(interrupted)

    def _notify_controller(
        self, message: GenerationFinished | GenerationInterrupted
    ) -> list[Effect]:
        """Sends to the current leader; `RunningReport` makes up for a lost message."""
        return [Send(self._controller, message)] if self._controller is not None else []
