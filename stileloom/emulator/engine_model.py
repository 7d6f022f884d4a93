"""Model of an inference engine with continuous batching, a prefix cache and weight versions.

The caller supplies the time. With n running sequences, one step takes

    step_base_s + n * step_per_sequence_s

and generates one token for each of them. All running sequences advance together, so the model
keeps a single step count (`_steps`). Its rate changes only when a sequence starts or ends, so the
next end is computed directly instead of simulating every step.
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

ROUNDING_TOLERANCE = 1e-9
VERSION_BITS = 16
CHARACTERS_PER_TOKEN = 4
MAX_SEEN_IDS = 100_000
MAX_VERSION_HISTORY = 64


class EngineParameters(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Performance parameters; times in seconds, sizes in tokens or bytes."""

    max_running: int = 32
    step_base_s: float = 0.010
    step_per_sequence_s: float = 0.0005
    prefill_tokens_per_step: int = 512
    prefix_cache_tokens: int = 20_000
    weight_bytes: int = 2_000_000_000
    peer_bytes_per_s: float = 2_000_000_000.0
    """Rate of weight transfers to another engine."""
    load_failure_probability: float = 0.0
    """Probability that a weight load fails and leaves the version unknown."""
    load_lag_s: float = 0.2
    """Maximum age of a load report."""
    length_median_tokens: int = 60
    length_sigma: float = 0.6
    """Sigma of the log-normal length of prompts without a `len:` prefix."""


class _Sequence(msgspec.Struct):
    """A running or finished generation."""

    request: GenerateRequest
    length: int
    """Total number of tokens, including those before `first_token`."""
    started_at_step: float
    reported: int
    """Number of tokens already returned, or known to the caller from an earlier attempt."""


class EngineModel:
    """One engine. Each call first advances the model to the given time."""

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
        self._draining = False

    # Time.

    def _step_time(self) -> float:
        return (
            self.parameters.step_base_s + len(self._running) * self.parameters.step_per_sequence_s
        )

    def _is_paused(self) -> bool:
        return self.state in (EngineState.LOADING, EngineState.UNKNOWN_VERSION)

    def advance(self, now: float) -> None:
        """Advances the model to `now`, finishing running sequences and starting waiting ones."""
        while self._running and not self._is_paused():
            self._discard_stale_ends()
            step_time = self._step_time()
            end_step, request_id = self._ends[0]
            end_at = self._now + (end_step - self._steps) * step_time
            # Without the tolerance, a rounding error could postpone an end forever.
            if end_at > now + ROUNDING_TOLERANCE:
                self._advance_steps(now, step_time)
                break
            self._advance_steps(min(now, end_at), step_time)
            self._steps = max(self._steps, end_step)
            heapq.heappop(self._ends)
            self._finish_sequence(request_id)
        self._now = max(self._now, now)

    def _advance_steps(self, until: float, step_time: float) -> None:
        elapsed = max(0.0, until - self._now)
        self._steps += elapsed / step_time
        self.busy_s += elapsed
        self._now = max(self._now, until)

    def _discard_stale_ends(self) -> None:
        while self._ends and self._ends[0][1] not in self._running:
            heapq.heappop(self._ends)

    def next_event_at(self) -> float | None:
        """Returns the time at which the next sequence ends, or None if none is running."""
        self._discard_stale_ends()
        if self._is_paused() or not self._ends:
            return None
        return self._now + max(0.0, self._ends[0][0] - self._steps) * self._step_time()

    # Generations.

    def submit(self, now: float, request: GenerateRequest) -> EngineRefusal | None:
        """Queues a generation. Returns a refusal if it was not accepted."""
        self.advance(now)
        if request.request_id in self._seen:
            return EngineRefusal("duplicate_request", "request id was already used")
        if self._draining:
            return EngineRefusal("leaving")
        if self.state is not EngineState.SERVING:
            return EngineRefusal(self.state.value)
        if request.role is not self.role:
            return EngineRefusal("wrong_role", f"engine role is {self.role.value}")
        if request.model != self.model:
            return EngineRefusal("wrong_model", f"engine serves {self.model}")
        self._record_state(request.request_id, CancelState.BEGAN)
        self._arrivals += 1
        heapq.heappush(self._waiting, (-request.priority, self._arrivals, request))
        self._start_waiting()
        return None

    def _record_state(self, request_id: str, state: CancelState) -> None:
        self._seen[request_id] = state
        while len(self._seen) > MAX_SEEN_IDS:
            self._seen.popitem(last=False)

    def _start_waiting(self) -> None:
        while self._waiting and len(self._running) < self.parameters.max_running:
            _, _, request = heapq.heappop(self._waiting)
            self._start(request)

    def _start(self, request: GenerateRequest) -> None:
        length = generated_length(request.prompt, request.max_tokens, self.parameters)
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
        """Returns how many prompt tokens are cached, and caches the prefix."""
        if not key:
            return 0
        cached = min(prompt_tokens, self._prefixes.pop(key, 0))
        self._prefixes[key] = prompt_tokens
        while sum(self._prefixes.values()) > self.parameters.prefix_cache_tokens:
            self._prefixes.popitem(last=False)
        return cached

    def _finish_sequence(self, request_id: str) -> None:
        sequence = self._running.pop(request_id)
        self._finished[request_id] = sequence
        self.generated_tokens += sequence.length - sequence.request.first_token
        self._start_waiting()

    def poll(self, now: float, request_id: str) -> list[StreamChunk | StreamEnd] | None:
        """Returns new output of a generation, or None if it was aborted or is unknown."""
        self.advance(now)
        sequence = self._running.get(request_id)
        if sequence is not None:
            generated = math.floor(self._steps - sequence.started_at_step + ROUNDING_TOLERANCE)
            count = sequence.request.first_token + max(0, generated)
            return list(self._chunks(sequence, min(count, sequence.length)))
        finished = self._finished.pop(request_id, None)
        if finished is not None:
            chunks: list[StreamChunk | StreamEnd] = list(self._chunks(finished, finished.length))
            reason = "length" if finished.length >= finished.request.max_tokens else "stop"
            return [*chunks, StreamEnd(finished.length, reason)]
        is_waiting = any(entry[2].request_id == request_id for entry in self._waiting)
        return [] if is_waiting else None

    def unfetched_ids(self) -> list[str]:
        """Returns the ids of finished generations whose output has not been fetched."""
        return list(self._finished)

    def _chunks(self, sequence: _Sequence, up_to: int) -> list[StreamChunk]:
        """Returns the tokens not returned yet, split where the weight version changes."""
        chunks: list[StreamChunk] = []
        position = sequence.reported
        while position < up_to:
            version, until = self._version_at(sequence, position, up_to)
            tokens = make_tokens(sequence.request.prompt, position, until, version)
            chunks.append(StreamChunk(position, tokens, version))
            position = until
        sequence.reported = max(sequence.reported, up_to)
        return chunks

    def _version_at(self, sequence: _Sequence, position: int, up_to: int) -> tuple[int | None, int]:
        """Returns the weight version of a token and the end of its run of tokens."""
        offset = sequence.started_at_step - sequence.request.first_token + 1
        version: int | None = None
        until = up_to
        for step, candidate in self._version_steps:
            first = math.ceil(step - offset + ROUNDING_TOLERANCE)
            if first <= position:
                version = candidate
            else:
                until = min(until, first)
                break
        return version, max(until, position + 1)

    def cancel(self, now: float, request_id: str) -> CancelState:
        """Cancels a generation. An unknown id is recorded, so that submitting it later fails."""
        self.advance(now)
        if request_id not in self._seen:
            self._record_state(request_id, CancelState.NEVER_BEGAN)
        state = self._seen[request_id]
        if self._running.pop(request_id, None) is not None:
            self._start_waiting()
        self._waiting = [entry for entry in self._waiting if entry[2].request_id != request_id]
        heapq.heapify(self._waiting)
        self._finished.pop(request_id, None)
        return state

    # Orders and versions.

    def order(self, now: float, order: EngineOrder) -> bool:
        """Applies a fenced order. Returns whether weights must be loaded for it.

        Raises `PermissionError` if the fencing token is lower than an earlier one.
        """
        self.advance(now)
        if not self.fence.admits(order.token):
            raise PermissionError(f"fencing token is lower than {self.fence.highest}")
        is_current = (self.model, self.version) == (order.model, order.version)
        if is_current and self.state is EngineState.SERVING:
            self.role = order.role
            return False
        if order.model != self.model:
            self._abort_all()
        self._loading = order
        self.state = EngineState.LOADING
        return True

    def finish_load(self, now: float, order: EngineOrder, success: bool) -> None:
        """Completes the weight load of an order; a failed load leaves the version unknown."""
        self.advance(now)
        if self._loading != order:
            return
        self._loading = None
        if not success:
            self.state = EngineState.UNKNOWN_VERSION
            self.version = None
            self._abort_all()
            return
        self.state = EngineState.SERVING
        self.role = order.role
        self.model = order.model
        self.version = order.version
        self._version_steps.append((self._steps, order.version))
        del self._version_steps[:-MAX_VERSION_HISTORY]
        self._start_waiting()

    def draw_load_success(self) -> bool:
        """Draws whether the next weight load succeeds."""
        return self._rng.random() >= self.parameters.load_failure_probability

    def drain(self, now: float) -> None:
        """Refuses new requests; queued and running generations are completed."""
        self.advance(now)
        self._draining = True

    def crash(self, now: float) -> None:
        """Loses queued and running requests and caches; the weight version becomes unknown."""
        self.advance(now)
        self._abort_all()
        self._loading = None
        self._seen.clear()
        self._prefixes.clear()
        self.state = EngineState.UNKNOWN_VERSION
        self.version = None

    def _abort_all(self) -> None:
        self._running.clear()
        self._waiting.clear()
        self._ends.clear()

    @property
    def open_count(self) -> int:
        """Number of generations that are running, waiting, or finished and not fetched."""
        return len(self._running) + len(self._waiting) + len(self._finished)

    def report(self, now: float) -> LoadReport:
        """Returns the current load."""
        self.advance(now)
        return LoadReport(
            sampler_id=self.sampler_id,
            state=EngineState.LEAVING if self._draining else self.state,
            role=self.role,
            model=self.model,
            weight_version=self.version,
            running=len(self._running),
            waiting=len(self._waiting),
            max_running=self.parameters.max_running,
            last_order=self.fence.highest,
        )


def generated_length(prompt: str, max_tokens: int, parameters: EngineParameters) -> int:
    """Returns the number of tokens generated for a prompt, at most `max_tokens`.

    A prompt that starts with `len:N|` gets N tokens. Any other gets a log-normal length derived
    from its hash, so it is the same on every run.
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
    """Returns tokens `start..end` of a prompt, with the version in the low bits.

    A reader can verify that a token belongs to its prompt and position, and that it was generated
    by the reported weight version.
    """
    base = xxhash.xxh3_64_intdigest(prompt.encode()) & 0xFFFF
    low = (version or 0) & ((1 << VERSION_BITS) - 1)
    return [
        (((base + index * 40_503) & 0xFFFF) << VERSION_BITS) | low for index in range(start, end)
    ]


def token_content(token: int) -> int:
    """Returns the version-independent part of a token."""
    return token >> VERSION_BITS
