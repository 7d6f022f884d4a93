"""How a ledger node starts: its disk's identity, the first voter set, its entry in the store."""

from __future__ import annotations

import asyncio
import uuid
from pathlib import Path

import msgspec

from stileloom.api.object_store import ObjectRecord, ObjectStore
from stileloom.daemon.ledger_driver import LedgerDriver
from stileloom.errors import ErrorKind, StileloomError
from stileloom.events import LogEvent
from stileloom.ledger import empty_ledger
from stileloom.ledger.bootstrap import VoterSetRecord, join_voter_set
from stileloom.ledger.commands import Voter
from stileloom.ledger.recovered import RecoveredLedger
from stileloom.ledger.registration import LedgerRegistration, read_registrations
from stileloom.ledger.storage import LedgerStorage
from stileloom.logging import EventLog
from stileloom.service_settings import ServiceSettings

VOTER_SET_NAME = "ledger"
BOOTSTRAP_RETRY_S = 0.2
REGISTER_INTERVAL_S = 0.7
DISK_RETRY_S = 0.3


class OpenedLedger(msgspec.Struct, frozen=True):
    """What a disk holds, opened for writing."""

    identity: Voter
    recovered: RecoveredLedger
    storage: LedgerStorage


async def open_ledger_patiently(
    settings: ServiceSettings, store: ObjectStore, voter_set_kind: str, log: EventLog
) -> OpenedLedger:
    """Opens the ledger; waits while the disk refuses writes."""
    failing = False
    while True:
        try:
            opened = await open_ledger(settings, store, voter_set_kind, log)
        except OSError as error:
            if not failing:
                log.emit(LogEvent.DISK_LOST, {"detail": repr(error)})
            failing = True
            await asyncio.sleep(DISK_RETRY_S)
            continue
        if failing:
            log.emit(LogEvent.DISK_REGAINED, {})
        return opened


async def open_ledger(
    settings: ServiceSettings, store: ObjectStore, voter_set_kind: str, log: EventLog
) -> OpenedLedger:
    """The ledger of this disk; at the deployment's first start the voters agree first.

    A disk that is empty later is a learner without a voter set: it waits for a leader.
    """
    storage = LedgerStorage(Path(settings.data_folder))
    identity = storage.read_identity()
    recovered = storage.recover()
    if identity is None:
        identity = Voter(settings.node_id, uuid.uuid4().hex)
        storage.write_identity(identity)
    if recovered is not None:
        return OpenedLedger(identity, recovered, storage)
    voters: list[Voter] = []
    if settings.first_start:
        voters = await agree_on_voters(store, voter_set_kind, identity, settings.voters)
    if identity not in voters:
        log.emit(LogEvent.VOTER_WITHOUT_DISK, {"disk": identity.disk_id})
    recovered = empty_ledger(voters)
    storage.initialize(recovered)
    return OpenedLedger(identity, recovered, storage)


async def agree_on_voters(
    store: ObjectStore, kind: str, me: Voter, target_count: int
) -> list[Voter]:
    """The first voter set, by compare-and-swap; waits while the store is away."""
    while True:
        try:
            record = await store.get_object(kind, VOTER_SET_NAME)
            current = msgspec.convert(record.spec, VoterSetRecord) if record is not None else None
            if current is not None and current.sealed:
                return current.voters
            entered = join_voter_set(current, me, target_count)
            if entered is not None:
                spec = msgspec.to_builtins(entered)
                if record is None:
                    await store.create_object(kind, VOTER_SET_NAME, spec)
                else:
                    await store.replace_object(kind, msgspec.structs.replace(record, spec=spec))
                continue
        except StileloomError as error:
            # Down, or another node was first: look again.
            if error.kind not in (ErrorKind.PLATFORM_UNAVAILABLE, ErrorKind.CONFLICT):
                raise
        await asyncio.sleep(BOOTSTRAP_RETRY_S)


class PeerRegistry:
    """This node's entry in the store, and the entries of the others."""

    def __init__(
        self,
        settings: ServiceSettings,
        store: ObjectStore,
        kind: str,
        driver: LedgerDriver,
        log: EventLog,
    ) -> None:
        self._settings = settings
        self._store = store
        self._kind = kind
        self._driver = driver
        self._log = log

    async def follow(self) -> None:
        """Registers this node, and asks the store for the others while one is not known."""
        registered = False
        failing = False
        while True:
            try:
                if not registered or self._driver.misses_peers():
                    await self._register()
                    registered = True
                    failing = False
            except StileloomError as error:
                fields: dict[str, object] = {"kind": self._kind, "detail": error.detail}
                if not failing:
                    self._log.emit(LogEvent.STORE_LOST, fields)
                failing = True
            await asyncio.sleep(REGISTER_INTERVAL_S)

    async def _register(self) -> None:
        registration = LedgerRegistration(
            ledger=self._settings.ledger,
            calls=f"{self._settings.host}:{self._settings.calls_port}",
            disk=self._driver.replica.me.disk_id,
        )
        spec = msgspec.to_builtins(registration)
        page = await self._store.list_objects(self._kind)
        self._learn(page.records)
        mine = [record for record in page.records if record.name == self._settings.node_id]
        if not mine:
            await self._store.create_object(self._kind, self._settings.node_id, spec)
        elif mine[0].spec != spec:
            changed = msgspec.structs.replace(mine[0], spec=spec)
            await self._store.replace_object(self._kind, changed)

    def _learn(self, records: list[ObjectRecord]) -> None:
        for node_id, registration in read_registrations(records).items():
            if node_id != self._settings.node_id:
                self._driver.learn_address(node_id, registration.ledger_address)
