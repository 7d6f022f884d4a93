"""Runs a node core on the tornado event loop with a monotonic clock, network and disk."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor

import msgspec
from tornado.ioloop import IOLoop

from stileloom import constants
from stileloom.api.engine import StreamChunk, StreamEnd
from stileloom.background import Ticker
from stileloom.clock import steady_time
from stileloom.configuration import FetchConfiguration, FetchMachines
from stileloom.daemon.engine_client import EngineClient
from stileloom.daemon.platform_client import MachineList, ObjectApi
from stileloom.daemon.waiters import Waiters
from stileloom.effects import Effect, Emit, Send, SendToAddress
from stileloom.errors import ErrorKind, StileloomError
from stileloom.events import LogEvent
from stileloom.ledger import Persist
from stileloom.ledger.commands import Command, CommandResult
from stileloom.ledger.storage import LedgerStorage
from stileloom.logging import EventLog
from stileloom.node import NodeCore
from stileloom.node.dispatch import NodeCodec
from stileloom.samplers.effects import CloseStream, ConfirmNotRun, OpenStream, QueryLoad, SendOrder
from stileloom.transport import Network

TICK_S = 0.05
PLATFORM_RETRY_S = 0.5
COMMAND_WAIT_S = constants.COMMAND_TIMEOUT_S + 1.0


class Shell:
    """Executes the effects of a node core."""

    def __init__(
        self,
        core: NodeCore,
        log: EventLog,
        object_api: ObjectApi,
        machine_list: MachineList,
        storage: LedgerStorage | None,
    ) -> None:
        self.core = core
        self.waiters = Waiters()
        self.network = Network(NodeCodec(core.node_id), self._handle_message)
        self.object_api = object_api
        self.engines = EngineClient()
        self.on_drain_request: Callable[[], None] = lambda: None
        self._log = log
        self._machine_list = machine_list
        self._storage = storage
        self._disk = ThreadPoolExecutor(max_workers=1, thread_name_prefix="ledger")
        self._writes: list[Persist] = []
        self._writing = False
        self._platform_up = True
        self._stopped = False
        self._ticker = Ticker(self._tick, TICK_S)
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Starts listening and the timers. Raises `OSError` if the port is in use."""
        await self.network.start(host, port)
        self._ticker.start()

    def stop(self) -> None:
        """Stops timers and closes sockets."""
        self._stopped = True
        self._ticker.stop()
        self.network.stop()
        for task in self._tasks:
            task.cancel()
        self._disk.shutdown(wait=True)
        if self._storage is not None:
            self._storage.close()
            self._storage.blobs.close()

    def now(self) -> float:
        """Returns monotonic seconds, which include time while the machine is suspended."""
        return steady_time()

    def run(self, effects: list[Effect]) -> None:
        """Executes effects in order; does nothing after `stop`."""
        if self._stopped:
            return
        for effect in effects:
            self._execute(effect)

    def _tick(self) -> None:
        self.run(self.core.tick(self.now(), time.time()))

    def _handle_message(self, sender: str, message: object) -> None:
        self.run(self.core.receive(self.now(), sender, message))

    def _execute(self, effect: Effect) -> None:
        if isinstance(effect, Send):
            member = self.core.membership.get(effect.to)
            if member is not None:
                self.network.send((member.host, member.port), effect.message)
        elif isinstance(effect, SendToAddress):
            self.network.send((effect.host, effect.port), effect.message)
        elif isinstance(effect, Emit):
            self._log.emit(effect.event, effect.fields)
        elif isinstance(effect, Persist):
            self._writes.append(effect)
            self._start_write()
        elif isinstance(effect, OpenStream):
            self._spawn(self._stream(effect))
        elif isinstance(effect, CloseStream):
            self._spawn(self._close_stream(effect))
        elif isinstance(effect, ConfirmNotRun):
            self._spawn(self._confirm_not_run(effect))
        elif isinstance(effect, QueryLoad):
            self._spawn(self._query_load(effect))
        elif isinstance(effect, SendOrder):
            self._spawn(self._send_order(effect))
        elif isinstance(effect, FetchConfiguration):
            self._spawn(self._fetch_configuration(effect))
        elif isinstance(effect, FetchMachines):
            self._spawn(self._fetch_machines())
        else:
            self.waiters.resolve(effect)

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Disk.

    def _start_write(self) -> None:
        """Writes all queued effects as one batch, unless a write is in progress."""
        if self._writing or not self._writes or self._storage is None:
            return
        self._writing = True
        batch, self._writes = self._writes, []
        future = IOLoop.current().run_in_executor(self._disk, self._storage.write, batch)
        IOLoop.current().add_future(
            future, lambda done: self._write_finished(done, batch[-1].write_id)
        )

    def _write_finished(self, done: asyncio.Future[None], write_id: int) -> None:
        # Raises if the write failed. `_writing` then stays set, so no later write is started.
        done.result()
        self._writing = False
        if self._stopped:
            return
        self.run(self.core.persisted(self.now(), write_id))
        self._start_write()

    # Engines.

    def _address_of(self, sampler_id: str) -> str | None:
        sampler = self.core.table.get(sampler_id)
        return f"{sampler.machine.host}:{sampler.machine.port}" if sampler is not None else None

    async def _stream(self, effect: OpenStream) -> None:
        request_id = effect.request.request_id
        address = self._address_of(effect.sampler_id)
        if address is None:
            self.run(
                self.core.stream_failed(
                    self.now(), request_id, True, "the sampler is no longer listed"
                )
            )
            return

        def on_frame(frame: StreamChunk | StreamEnd) -> None:
            if isinstance(frame, StreamEnd):
                self.run(self.core.stream_end(self.now(), request_id, frame))
            else:
                self.run(self.core.stream_chunk(self.now(), request_id, frame))

        failure = await self.engines.stream(address, effect.request, on_frame)
        if failure is not None:
            self.run(
                self.core.stream_failed(
                    self.now(), request_id, failure.never_started, failure.detail
                )
            )

    async def _close_stream(self, effect: CloseStream) -> None:
        address = self._address_of(effect.sampler_id)
        if address is not None:
            await self.engines.cancel(address, effect.request_id)

    async def _confirm_not_run(self, effect: ConfirmNotRun) -> None:
        address = self._address_of(effect.sampler_id)
        state = None
        if address is not None:
            state = await self.engines.cancel(address, effect.request_id)
        self.run(self.core.cancel_confirmed(self.now(), effect.request_id, state))

    async def _query_load(self, effect: QueryLoad) -> None:
        address = self._address_of(effect.sampler_id)
        load = await self.engines.read_load(address) if address is not None else None
        self.run(self.core.load_reported(self.now(), effect.sampler_id, load))

    async def _send_order(self, effect: SendOrder) -> None:
        address = self._address_of(effect.sampler_id)
        if address is not None and not await self.engines.send_order(address, effect.order):
            fields: dict[str, object] = {"sampler": effect.sampler_id}
            self._log.emit(LogEvent.ORDER_REFUSED, fields)

    # Platform.

    async def _fetch_configuration(self, effect: FetchConfiguration) -> None:
        configuration = None
        try:
            configuration = await self.object_api.watch(effect.after_revision)
            self._set_platform_up(True)
        except (StileloomError, msgspec.DecodeError) as error:
            self._set_platform_up(False, str(error))
            await asyncio.sleep(PLATFORM_RETRY_S)
        self.run(self.core.configuration_fetched(self.now(), configuration))

    def _set_platform_up(self, up: bool, detail: str = "") -> None:
        if up == self._platform_up:
            return
        self._platform_up = up
        event = LogEvent.PLATFORM_UP if up else LogEvent.PLATFORM_DOWN
        self._log.emit(event, {"service": "object API", "detail": detail})

    async def _fetch_machines(self) -> None:
        machines = await self._machine_list.read()
        self.run(self.core.machines_fetched(self.now(), machines))

    # HTTP API.

    async def command(self, command: Command, timeout_s: float = COMMAND_WAIT_S) -> CommandResult:
        """Submits a command to the ledger and waits for its result.

        Raises `StileloomError` (LEDGER_UNAVAILABLE, outcome unknown).
        """
        ticket, effects = self.core.submit_command(self.now(), command)
        future = self.waiters.expect_command(ticket)
        self.run(effects)
        try:
            async with asyncio.timeout(timeout_s):
                finished = await future
        except TimeoutError:
            finished = None
        finally:
            self.waiters.remove_command(ticket)
        if finished is None or finished.result is None:
            raise StileloomError(ErrorKind.LEDGER_UNAVAILABLE, "the ledger did not respond in time")
        return finished.result
