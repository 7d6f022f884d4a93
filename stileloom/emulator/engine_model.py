"""A model engine in virtual time: continuous batching, prefix cache, versions, fenced orders.

Step-time model: with n running sequences one step takes

    step_base_s + n * step_per_sequence_s

and gives each of them one token. So all running sequences advance together, and the model
keeps one number, the count of steps so far (`_steps`), which grows at a rate that changes only
when a sequence starts or ends: it computes the next end instead of stepping through tokens.
"""

from __future__ import annotations

import collections
import heapq
import math
import random
import statistics

import msgspec
import xxhash

from stileloom.api.engine import (
    CancelState,
    EngineOrder,
    EngineRefusal,
    EngineState,
    GenerateRequest,
    LoadReport,
    StreamChunk,
    StreamEnd,
)
from stileloom.api.objects import SamplerRole
from stileloom.lease import Fence

ROUNDING = 1e-9
VERSION_BITS = 16
CHARACTERS_PER_TOKEN = 4
SEEN_IDS = 100_000
VERSIONS_REMEMBERED = 64


class EngineParameters(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How fast an engine is; times in seconds, sizes in tokens or bytes."""

    max_running: int = 32
    step_base_s: float = 0.010
    step_per_sequence_s: float = 0.0005
    prefill_tokens_per_step: int = 512
    prefix_cache_tokens: int = 20_000
    weight_bytes: int = 2_000_000_000
    peer_bytes_per_s: float = 2_000_000_000.0
    """Rate at which a holder passes weights on to another engine."""
    load_failure_probability: float = 0.0
    """Chance that a swap fails partway and leaves the version unknown."""
    load_lag_s: float = 0.2
    """How old a load report may be."""
    length_median_tokens: int = 60
    length_sigma: float = 0.6
    """Sigma of the log-normal length of prompts that do not state theirs."""


class _Sequence(msgspec.Struct):
    """A generation that runs."""

    request: GenerateRequest
    length: int
    """Tokens of the whole generation."""
    started_at_step: float
    reported: int
    """Tokens already handed out, or known to the caller."""


class EngineModel:
    """One engine. Calls advance it to the time they are given."""

    def __init__(
        self,
        sampler_id: str,
        parameters: EngineParameters,
        role: SamplerRole,
        model: str,
        version: int,
        rng: random.Random,
    ) -> None:
        self.sampler_id = sampler_id
        self.parameters = parameters
        self.role = role
        self.model = model
        self.state = EngineState.SERVING
        self.version: int | None = version
        self.fence = Fence()
        self.generated_tokens = 0
        self.busy_s = 0.0
        self._rng = rng
        self._now = 0.0
        self._steps = 0.0
        self._running: dict[str, _Sequence] = {}
        self._ends: list[tuple[float, str]] = []
        self._waiting: list[tuple[int, int, GenerateRequest]] = []
        self._arrivals = 0
        self._finished: dict[str, _Sequence] = {}
        self._seen: collections.OrderedDict[str, CancelState] = collections.OrderedDict()
        self._version_steps: list[tuple[float, int | None]] = [(0.0, version)]
        self._prefixes: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._loading: EngineOrder | None = None
        self._leaving = False

    # Time.

    def _step_time(self) -> float:
        return (
            self.parameters.step_base_s + len(self._running) * self.parameters.step_per_sequence_s
        )

    def _stands_still(self) -> bool:
        return self.state in (EngineState.LOADING, EngineState.UNKNOWN_VERSION)

    def advance(self, now: float) -> None:
        """Brings the engine to a time: sequences grow, end, and others start."""
        while self._running and not self._stands_still():
            self._drop_stale_ends()
            step_time = self._step_time()
            end_step, request_id = self._ends[0]
            end_at = self._now + (end_step - self._steps) * step_time
            # An end that is due within a rounding error must not be put off for ever.
            if end_at > now + ROUNDING:
                self._grow(now, step_time)
                break
            self._grow(min(now, end_at), step_time)
            self._steps = max(self._steps, end_step)
            heapq.heappop(self._ends)
            self._end_sequence(request_id)
        self._now = max(self._now, now)

    def _grow(self, until: float, step_time: float) -> None:
        elapsed = max(0.0, until - self._now)
        self._steps += elapsed / step_time
        self.busy_s += elapsed
        self._now = max(self._now, until)

    def _drop_stale_ends(self) -> None:
        while self._ends and self._ends[0][1] not in self._running:
            heapq.heappop(self._ends)

    def next_event_at(self) -> float | None:
        """When the next sequence ends, if nothing else happens."""
        self._drop_stale_ends()
        if self._stands_still() or not self._ends:
            return None
        return self._now + max(0.0, self._ends[0][0] - self._steps) * self._step_time()

    # Generations.

    def submit(self, now: float, request: GenerateRequest) -> EngineRefusal | None:
        """Takes a generation, or refuses it before it begins."""
        self.advance(now)
        if request.request_id in self._seen:
            return EngineRefusal("duplicate_request", "this id was seen before")
        if self._leaving:
            return EngineRefusal("leaving")
        if self.state is not EngineState.SERVING:
            return EngineRefusal(self.state.value)
        if request.role is not self.role:
            return EngineRefusal("wrong_role", f"works as {self.role.value}")
        if request.model != self.model:
            return EngineRefusal("wrong_model", f"holds {self.model}")
        self._remember(request.request_id, CancelState.BEGAN)
        self._arrivals += 1
        heapq.heappush(self._waiting, (-request.priority, self._arrivals, request))
        self._start_waiting()
        return None

    def _remember(self, request_id: str, state: CancelState) -> None:
        self._seen[request_id] = state
        while len(self._seen) > SEEN_IDS:
            self._seen.popitem(last=False)

    def _start_waiting(self) -> None:
        while self._waiting and len(self._running) < self.parameters.max_running:
            _, _, request = heapq.heappop(self._waiting)
            self._start(request)

    def _start(self, request: GenerateRequest) -> None:
        length = natural_length(request.prompt, request.max_tokens, self.parameters)
        start = self._steps + self._prefill_steps(request)
        sequence = _Sequence(request, max(length, request.first_token), start, request.first_token)
        self._running[request.request_id] = sequence
        end_step = start + (sequence.length - request.first_token)
        heapq.heappush(self._ends, (end_step, request.request_id))

    def _prefill_steps(self, request: GenerateRequest) -> int:
        prompt_tokens = len(request.prompt) // CHARACTERS_PER_TOKEN + 1
        cached = self._cached_prefix(request.prefix_key, prompt_tokens)
        uncached = prompt_tokens - cached + request.first_token
        return math.ceil(uncached / self.parameters.prefill_tokens_per_step)

    def _cached_prefix(self, key: str, prompt_tokens: int) -> int:
        """Tokens of the prompt that are in the cache; the prefix is in it afterwards."""
        if not key:
            return 0
        cached = min(prompt_tokens, self._prefixes.pop(key, 0))
        self._prefixes[key] = prompt_tokens
        while sum(self._prefixes.values()) > self.parameters.prefix_cache_tokens:
            self._prefixes.popitem(last=False)
        return cached

    def _end_sequence(self, request_id: str) -> None:
        sequence = self._running.pop(request_id)
        self._finished[request_id] = sequence
        self.generated_tokens += sequence.length - sequence.request.first_token
        self._start_waiting()

    def poll(self, now: float, request_id: str) -> list[StreamChunk | StreamEnd] | None:
        """What is new of a generation; None where it was cut off or is not known any more."""
        self.advance(now)
        sequence = self._running.get(request_id)
        if sequence is not None:
            made = math.floor(self._steps - sequence.started_at_step + ROUNDING)
            count = sequence.request.first_token + max(0, made)
            return list(self._chunks(sequence, min(count, sequence.length)))
        finished = self._finished.pop(request_id, None)
        if finished is not None:
            chunks: list[StreamChunk | StreamEnd] = list(self._chunks(finished, finished.length))
            reason = "length" if finished.length >= finished.request.max_tokens else "stop"
            return [*chunks, StreamEnd(finished.length, reason)]
        is_waiting = any(entry[2].request_id == request_id for entry in self._waiting)
        return [] if is_waiting else None

    def ended_ids(self) -> list[str]:
        """Generations that have ended and were not fetched to their end."""
        return list(self._finished)

    def _chunks(self, sequence: _Sequence, up_to: int) -> list[StreamChunk]:
        """Tokens not handed out yet, split where the version changed."""
        chunks: list[StreamChunk] = []
        position = sequence.reported
        while position < up_to:
            version, until = self._version_of(sequence, position, up_to)
            tokens = make_tokens(sequence.request.prompt, position, until, version)
            chunks.append(StreamChunk(position, tokens, version))
            position = until
        sequence.reported = max(sequence.reported, up_to)
        return chunks

    def _version_of(self, sequence: _Sequence, position: int, up_to: int) -> tuple[int | None, int]:
        """The version that made a token, and the first token after it of another one."""
        offset = sequence.started_at_step - sequence.request.first_token + 1
        version: int | None = None
        until = up_to
        for step, candidate in self._version_steps:
            first = math.ceil(step - offset + ROUNDING)
            if first <= position:
                version = candidate
            else:
                until = min(until, first)
                break
        return version, max(until, position + 1)

    def cancel(self, now: float, request_id: str) -> CancelState:
        """Ends a generation; an id that was never seen is refused from now on."""
        self.advance(now)
        if request_id not in self._seen:
            self._remember(request_id, CancelState.NEVER_BEGAN)
        state = self._seen[request_id]
        if self._running.pop(request_id, None) is not None:
            self._start_waiting()
        self._waiting = [entry for entry in self._waiting if entry[2].request_id != request_id]
        heapq.heapify(self._waiting)
        self._finished.pop(request_id, None)
        return state

    # Orders and versions.

    def order(self, now: float, order: EngineOrder) -> bool:
        """Takes a fenced order; returns whether weights are to be loaded for it.

        Raises `PermissionError` where the token is lower than one seen before.
        """
        self.advance(now)
        if not self.fence.admits(order.token):
            raise PermissionError(f"token below {self.fence.highest}")
        held = (self.model, self.version) == (order.model, order.version)
        if held and self.state is EngineState.SERVING:
            self.role = order.role
            return False
        if order.model != self.model:
            self._cut_everything()
        self._loading = order
        self.state = EngineState.LOADING
        return True

    def finish_load(self, now: float, order: EngineOrder, success: bool) -> None:
        """The weights of an order arrived, or the swap failed partway."""
        self.advance(now)
        if self._loading != order:
            return
        self._loading = None
        if not success:
            self.state = EngineState.UNKNOWN_VERSION
            self.version = None
            self._cut_everything()
            return
        self.state = EngineState.SERVING
        self.role = order.role
        self.model = order.model
        self.version = order.version
        self._version_steps.append((self._steps, order.version))
        del self._version_steps[:-VERSIONS_REMEMBERED]
        self._start_waiting()

    def draw_load_success(self) -> bool:
        """Whether the next swap goes well."""
        return self._rng.random() >= self.parameters.load_failure_probability

    def leave(self, now: float) -> None:
        """A planned stop: no new work, what runs is finished."""
        self.advance(now)
        self._leaving = True

    def crash(self, now: float) -> None:
        """Everything is lost, as at a new start: the version is not known any more."""
        self.advance(now)
        self._cut_everything()
        self._loading = None
        self._seen.clear()
        self._prefixes.clear()
        self.state = EngineState.UNKNOWN_VERSION
        self.version = None

    def _cut_everything(self) -> None:
        self._running.clear()
        self._waiting.clear()
        self._ends.clear()

    @property
    def open_count(self) -> int:
        """Generations running, waiting, or not fetched to their end."""
        return len(self._running) + len(self._waiting) + len(self._finished)

    def report(self, now: float) -> LoadReport:
        """The engine's load now."""
        self.advance(now)
        return LoadReport(
            sampler_id=self.sampler_id,
            state=EngineState.LEAVING if self._leaving else self.state,
            role=self.role,
            model=self.model,
            weight_version=self.version,
            running=len(self._running),
            waiting=len(self._waiting),
            max_running=self.parameters.max_running,
            last_order=self.fence.highest,
        )


def natural_length(prompt: str, max_tokens: int, parameters: EngineParameters) -> int:
    """How many tokens the model would give a prompt.

    A prompt that begins `len:N|` has N; any other has a log-normal length drawn from its
    hash, so that the same prompt always has the same.
    """
    if prompt.startswith("len:"):
        stated = prompt[4:].partition("|")[0]
        return max(1, min(max_tokens, int(stated)))
    digest = xxhash.xxh3_64_intdigest(prompt.encode())
    fraction = (digest % 999_983 + 0.5) / 999_983
    z = statistics.NormalDist().inv_cdf(fraction)
    length = parameters.length_median_tokens * math.exp(parameters.length_sigma * z)
    return max(1, min(max_tokens, round(length)))


def make_tokens(prompt: str, start: int, end: int, version: int | None) -> list[int]:
    """Tokens `start..end` of a prompt: content in the high bits, version in the low ones.

    So a reader can check both that a token belongs to its prompt and place, and that the
    version named for it is the one that made it.
    """
    base = xxhash.xxh3_64_intdigest(prompt.encode()) & 0xFFFF
    low = (version or 0) & ((1 << VERSION_BITS) - 1)
    return [
        (((base + index * 40_503) & 0xFFFF) << VERSION_BITS) | low for index in range(start, end)
    ]


def token_content(token: int) -> int:
    """The part of a token that does not depend on the version."""
    return token >> VERSION_BITS
