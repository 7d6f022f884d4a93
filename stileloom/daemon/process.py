"""The node process: startup, signals, drain and shutdown."""

from __future__ import annotations

import asyncio
import random
import signal
import time
import uuid
from pathlib import Path

from tornado.httpserver import HTTPServer

from stileloom.clock import steady_time
from stileloom.daemon.ledger_start import agree_on_voters
from stileloom.daemon.native_object_store import NativeObjectStore
from stileloom.daemon.platform_client import MachineList, ObjectApi
from stileloom.daemon.shell import Shell
from stileloom.events import LogEvent
from stileloom.http.application import make_application
from stileloom.ledger import LedgerReplica, empty_ledger
from stileloom.ledger.commands import Voter
from stileloom.ledger.recovered import RecoveredLedger
from stileloom.ledger.storage import LedgerStorage
from stileloom.logging import EventLog
from stileloom.membership import Member, Seed
from stileloom.node import NodeCore
from stileloom.settings import NodeSettings
from stileloom.settings_file import split_address

VOTER_SET_KIND = "voterset"
DEPARTURE_DELAY_S = 0.3
"""How long a draining node stays up so that other members learn of its departure."""


async def serve(settings: NodeSettings) -> None:
    """Runs a node until it is stopped by a signal or drain request; returns after the drain."""
    rng = random.Random()
    log = EventLog(settings.node_id)
    object_api = ObjectApi(settings.platform.object_api)
    storage = None
    recovered = None
    identity = None
    if settings.ledger.data_folder:
        storage = LedgerStorage(Path(settings.ledger.data_folder))
        identity, recovered = await _recover(settings, storage, object_api, log)
    now = steady_time()
    replica = None
    if identity is not None and recovered is not None:
        replica = LedgerReplica(identity, recovered, rng, now, settings.ledger.voters)
    core = NodeCore(
        _local_member(settings), _remote_seeds(settings), rng, now, replica, settings.scheduler
    )
    machine_list = MachineList(settings.platform.machine_list)
    shell = Shell(core, log, object_api, machine_list, storage)
    await shell.start(settings.host, settings.port)
    server = HTTPServer(
        make_application(shell, settings), max_body_size=settings.limits.max_body_bytes
    )
    server.listen(settings.http_port, address=settings.host)
    log.emit(LogEvent.NODE_STARTED, {"zone": settings.zone, "port": settings.port})
    await _wait_for_stop(shell)
    await _drain(shell, log, settings.limits.drain_timeout_s)
    server.stop()
    shell.stop()
    log.emit(LogEvent.NODE_STOPPED, {})


def _local_member(settings: NodeSettings) -> Member:
    return Member(
        node_id=settings.node_id,
        zone=settings.zone,
        region=settings.region,
        host=settings.host,
        port=settings.port,
        http_port=settings.http_port,
        # Higher than in earlier processes with this id; membership raises it if it is not.
        incarnation=time.time_ns() // 1_000_000,
        voter=bool(settings.ledger.data_folder),
    )


def _remote_seeds(settings: NodeSettings) -> list[Seed]:
    own = f"{settings.host}:{settings.port}"
    return [Seed(*split_address(seed)) for seed in settings.seeds if seed != own]


async def _recover(
    settings: NodeSettings, storage: LedgerStorage, object_api: ObjectApi, log: EventLog
) -> tuple[Voter, RecoveredLedger]:
    """Recovers the ledger of this disk, or agrees on the voter set at the first start."""
    identity = storage.read_identity()
    recovered = storage.recover()
    if identity is not None and recovered is not None:
        return identity, recovered
    if identity is None:
        identity = Voter(settings.node_id, uuid.uuid4().hex)
        storage.write_identity(identity)
    store = NativeObjectStore(object_api)
    voters = await agree_on_voters(store, VOTER_SET_KIND, identity, settings.ledger.voters, log)
    if identity not in voters:
        log.emit(LogEvent.VOTER_WITHOUT_DISK, {"disk": identity.disk_id})
    recovered = empty_ledger(voters)
    storage.initialize(recovered)
    return identity, recovered


async def _wait_for_stop(shell: Shell) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    shell.on_drain_request = stop.set
    await stop.wait()


async def _drain(shell: Shell, log: EventLog, timeout_s: float) -> None:
    """Rejects new requests and waits for those in flight to complete."""
    shell.run(shell.core.drain(shell.now()))
    deadline = shell.now() + timeout_s
    await asyncio.sleep(DEPARTURE_DELAY_S)
    while not shell.core.idle and shell.now() < deadline:
        await asyncio.sleep(0.05)
    log.emit(LogEvent.DRAIN_FINISHED, {"idle": shell.core.idle})
    await asyncio.sleep(DEPARTURE_DELAY_S)
