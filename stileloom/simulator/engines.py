"""Engines in virtual time: the emulator's model behind simulated connections."""

from __future__ import annotations

import functools
from collections.abc import Callable

import msgspec

from stileloom.api.engine import (
    CancelState,
    EngineOrder,
    GenerateRequest,
    LoadReport,
    StreamChunk,
    StreamEnd,
)
from stileloom.emulator.engine_model import EngineModel
from stileloom.simulator.network import SimulatedNetwork
from stileloom.simulator.platform import SimulatedPlatform
from stileloom.simulator.world import World

REFUSED_CONNECTION_S = 0.001
LOST_CONNECTION_S = 1.0
LEAST_WAIT_S = 1e-6
"""Time must go on between two wakes, whatever the rounding."""

Frame = StreamChunk | StreamEnd


class StreamReader(msgspec.Struct):
    """The node's end of a stream."""

    zone: str
    on_frame: Callable[[Frame], None]
    on_failure: Callable[[bool, str], None]
    """Called with whether the request surely did not begin, and why."""
    arrived_at: float = 0.0
    """A connection keeps its order: nothing arrives before this."""


class SimulatedEngine:
    """One engine with its connections."""

    def __init__(
        self,
        world: World,
        network: SimulatedNetwork,
        platform: SimulatedPlatform,
        model: EngineModel,
        zone: str,
        poll_s: float,
    ) -> None:
        self.model = model
        self.zone = zone
        self.down = False
        self.began: list[tuple[float, str]] = []
        """Each generation that began, with its time; the oracle's evidence."""
        self.find_engine: Callable[[str], SimulatedEngine | None] = lambda address: None
        self._world = world
        self._network = network
        self._platform = platform
        self._poll_s = poll_s
        self._readers: dict[str, StreamReader] = {}
        self._wake_number = 0
        self._next_poll_at = 0.0

    # Streams.

    def open_stream(self, request: GenerateRequest, reader: StreamReader) -> None:
        """A node sends a generation; it arrives after the latency."""
        delay = self._network.latency(reader.zone, self.zone)
        self._world.after(delay, lambda: self._submit(request, reader))

    def _submit(self, request: GenerateRequest, reader: StreamReader) -> None:
        if not self._network.reaches(reader.zone, self.zone):
            self._world.after(LOST_CONNECTION_S, lambda: reader.on_failure(True, "cut off"))
            return
        if self.down:
            self._world.after(REFUSED_CONNECTION_S, lambda: reader.on_failure(True, "refused"))
            return
        refusal = self.model.submit(self._world.now, request)
        if refusal is not None:
            code = refusal.code
            self._back(reader, lambda: reader.on_failure(True, code))
            return
        self.began.append((self._world.now, request.request_id))
        self._readers[request.request_id] = reader
        self._schedule()

    def _back(self, reader: StreamReader, action: Callable[[], None]) -> None:
        """Something goes back to a node, unless the way is cut by then."""
        delay = self._network.latency(self.zone, reader.zone)
        reader.arrived_at = max(reader.arrived_at, self._world.now + delay)
        self._world.after(reader.arrived_at - self._world.now, lambda: self._arrive(reader, action))

    def _arrive(self, reader: StreamReader, action: Callable[[], None]) -> None:
        if self._network.reaches(self.zone, reader.zone):
            action()
        else:
            self._world.after(LOST_CONNECTION_S, lambda: reader.on_failure(False, "cut off"))

    def _schedule(self) -> None:
        """Wakes at the next end of a sequence, or to pass tokens on."""
        if not self._readers:
            return
        self._wake_number += 1
        number = self._wake_number
        if self._next_poll_at <= self._world.now:
            self._next_poll_at = self._world.now + self._poll_s
        event_at = self.model.next_event_at()
        at = self._next_poll_at if event_at is None else min(event_at, self._next_poll_at)
        self._world.after(max(LEAST_WAIT_S, at - self._world.now), lambda: self._wake(number))

    def _wake(self, number: int) -> None:
        if number != self._wake_number or self.down:
            return
        self.model.advance(self._world.now)
        if self._world.now >= self._next_poll_at:
            due = list(self._readers)
        else:
            due = [rid for rid in self.model.unfetched_ids() if rid in self._readers]
        for request_id in due:
            self._pass_on(request_id)
        self._schedule()

    def _pass_on(self, request_id: str) -> None:
        reader = self._readers[request_id]
        frames = self.model.poll(self._world.now, request_id)
        if frames is None:
            del self._readers[request_id]
            self._back(reader, lambda: reader.on_failure(False, "cut"))
            return
        if not self._network.connected(self.zone, reader.zone):
            del self._readers[request_id]
            self.model.cancel(self._world.now, request_id)
            self._world.after(LOST_CONNECTION_S, lambda: reader.on_failure(False, "cut off"))
            return
        if frames and isinstance(frames[-1], StreamEnd):
            del self._readers[request_id]
        if frames:
            self._back(reader, lambda: _hand_over(reader, frames))

    def close_stream(self, request_id: str) -> None:
        """The node's end is gone: the engine cancels what runs for it."""
        if self._readers.pop(request_id, None) is not None and not self.down:
            self.model.cancel(self._world.now, request_id)
            self._schedule()

    def flush(self) -> None:
        """Passes on all tokens so far, so that a cut does not take them along."""
        for request_id in list(self._readers):
            self._pass_on(request_id)

    # Control.

    def cancel(
        self, zone: str, request_id: str, answer: Callable[[CancelState | None], None]
    ) -> None:
        """A cancellation by id."""

        def arrive() -> None:
            if self.down or not self._network.connected(zone, self.zone):
                self._world.after(LOST_CONNECTION_S, lambda: answer(None))
                return
            state = self.model.cancel(self._world.now, request_id)
            self._readers.pop(request_id, None)
            self._world.after(self._network.latency(self.zone, zone), lambda: answer(state))

        self._world.after(self._network.latency(zone, self.zone), arrive)

    def load(self, zone: str, answer: Callable[[LoadReport | None], None]) -> None:
        """A load query."""
        round_trip = 2 * self._network.latency(zone, self.zone)
        if self.down or not self._network.connected(zone, self.zone):
            self._world.after(LOST_CONNECTION_S, lambda: answer(None))
            return
        report = self.model.report(self._world.now)
        self._world.after(round_trip, lambda: answer(report))

    def order(self, zone: str, order: EngineOrder) -> None:
        """A fenced order; a refusal shows only in that nothing changes."""

        def arrive() -> None:
            if self.down or not self._network.reaches(zone, self.zone):
                return
            self.flush()
            try:
                loads = self.model.order(self._world.now, order)
            except PermissionError:
                return
            self._schedule()
            if loads:
                self._load_weights(order)

        self._world.after(self._network.latency(zone, self.zone), arrive)

    def _load_weights(self, order: EngineOrder) -> None:
        size = self.model.parameters.weight_bytes
        now = self._world.now
        success = self.model.draw_load_success()
        if order.source:
            peer = self.find_engine(order.source)
            held = peer is not None and not peer.down
            if peer is None or not held or peer.model.version != order.version:
                success = False
            delay = size / self.model.parameters.peer_bytes_per_s
        else:
            delay = self._platform.weight_store.finished_at(now, size) - now
        self._world.after(delay, lambda: self._loaded(order, success))

    def _loaded(self, order: EngineOrder, success: bool) -> None:
        if self.down:
            return
        self.model.finish_load(self._world.now, order, success)
        self._schedule()

    # Faults.

    def crash(self, down_s: float) -> None:
        """The engine dies and comes back without knowing its version."""
        self.down = True
        self.model.crash(self._world.now)
        readers, self._readers = self._readers, {}
        for reader in readers.values():
            self._back(reader, functools.partial(reader.on_failure, False, "reset"))
        self._world.after(down_s, self._come_back)

    def _come_back(self) -> None:
        self.down = False


def _hand_over(reader: StreamReader, frames: list[Frame]) -> None:
    for frame in frames:
        reader.on_frame(frame)
