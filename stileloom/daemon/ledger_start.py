"""Startup of a ledger node: disk identity, initial voter set, registration in the store."""

from __future__ import annotations

import asyncio
import uuid
from pathlib import Path

import msgspec

from stileloom.api.object_store import ObjectRecord, ObjectStore
from stileloom.clock import steady_time
from stileloom.daemon.ledger_driver import LedgerDriver
from stileloom.errors import ErrorKind, StileloomError
from stileloom.events import LogEvent
from stileloom.ledger import empty_ledger
from stileloom.ledger.bootstrap import (
    IncompleteSetTimer,
    VoterSetRecord,
    join_voter_set,
    seal_voter_set,
)
from stileloom.ledger.commands import Voter
from stileloom.ledger.recovered import RecoveredLedger
from stileloom.ledger.registration import LedgerRegistration, read_registrations
from stileloom.ledger.storage import LedgerDamaged, LedgerStorage
from stileloom.logging import EventLog
from stileloom.service_settings import ServiceSettings

VOTER_SET_NAME = "ledger"
BOOTSTRAP_RETRY_S = 0.2
MAX_BOOTSTRAP_RETRY_S = 1.0
"""Interval of reads of a voter set that stays incomplete: with 0.2 s throughout, four nodes without
a complete set made 400 calls to the store in 20 s."""
BOOTSTRAP_BACKOFF = 1.25
REGISTER_INTERVAL_S = 0.7
DISK_RETRY_S = 0.3


class OpenedLedger(msgspec.Struct, frozen=True):
    """Recovered ledger state and its storage, opened for writing."""

    identity: Voter
    recovered: RecoveredLedger
    storage: LedgerStorage


async def open_ledger_with_retry(
    settings: ServiceSettings, store: ObjectStore, voter_set_kind: str, log: EventLog
) -> OpenedLedger:
    """Opens the ledger; retries while the disk rejects writes."""
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
    """Opens the ledger of this disk and agrees on voters at the first start of a deployment.

    A node whose disk is empty at a later start is a learner and waits for a leader.
    """
    storage = LedgerStorage(Path(settings.data_folder))
    identity = storage.read_identity()
    try:
        recovered = storage.recover()
    except LedgerDamaged as error:
        # Its votes are lost with its log: it joins again as a replica with a new disk.
        log.emit(LogEvent.LEDGER_DAMAGED, {"detail": str(error)})
        storage.remove_all()
        identity = recovered = None
    if identity is None:
        identity = Voter(settings.node_id, uuid.uuid4().hex)
        storage.write_identity(identity)
    if recovered is not None:
        return OpenedLedger(identity, recovered, storage)
    voters: list[Voter] = []
    if settings.first_start:
        voters = await agree_on_voters(store, voter_set_kind, identity, settings.voters, log)
    if identity not in voters:
        log.emit(LogEvent.VOTER_WITHOUT_DISK, {"disk": identity.disk_id})
    recovered = empty_ledger(voters)
    storage.initialize(recovered)
    return OpenedLedger(identity, recovered, storage)


async def agree_on_voters(
    store: ObjectStore, kind: str, local_voter: Voter, target_count: int, log: EventLog
) -> list[Voter]:
    """Agrees on the initial voter set by compare-and-swap; retries while the store is down."""
    timer = IncompleteSetTimer()
    retry_s = BOOTSTRAP_RETRY_S
    while True:
        try:
            record = await store.get_object(kind, VOTER_SET_NAME)
            current = msgspec.convert(record.spec, VoterSetRecord) if record is not None else None
            if current is not None and current.sealed:
                return current.voters
            updated = join_voter_set(current, local_voter, target_count)
            is_incomplete = False
            if updated is None and current is not None and timer.is_due(steady_time(), current):
                is_incomplete = True
                updated = seal_voter_set(current)
            if updated is not None:
                spec = msgspec.to_builtins(updated)
                if record is None:
                    await store.create_object(kind, VOTER_SET_NAME, spec)
                else:
                    await store.replace_object(kind, msgspec.structs.replace(record, spec=spec))
                if is_incomplete:
                    names = [voter.node_id for voter in updated.voters]
                    fields: dict[str, object] = {"voters": names, "wanted": target_count}
                    log.emit(LogEvent.VOTER_SET_INCOMPLETE, fields)
                continue
        except StileloomError as error:
            # The object store is unavailable, or another node wrote first: read again.
            if error.kind is ErrorKind.PLATFORM_UNAVAILABLE:
                timer.reset()
            elif error.kind is not ErrorKind.CONFLICT:
                raise
        await asyncio.sleep(retry_s)
        retry_s = min(MAX_BOOTSTRAP_RETRY_S, retry_s * BOOTSTRAP_BACKOFF)


class PeerDiscovery:
    """Registers this node in the object store and reads the addresses of other nodes."""

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

    async def run(self) -> None:
        """Registers this node and reads the other registrations, again while a peer is unknown."""
        registered = False
        failing = False
        while True:
            try:
                if not registered or self._driver.needs_peer_discovery():
                    await self._exchange_addresses()
                    registered = True
                    failing = False
            except StileloomError as error:
                fields: dict[str, object] = {"kind": self._kind, "detail": error.detail}
                if not failing:
                    self._log.emit(LogEvent.STORE_LOST, fields)
                failing = True
            await asyncio.sleep(REGISTER_INTERVAL_S)

    async def _exchange_addresses(self) -> None:
        registration = LedgerRegistration(
            ledger=self._settings.ledger,
            calls=f"{self._settings.host}:{self._settings.calls_port}",
            disk=self._driver.replica.local_voter.disk_id,
            zone=self._settings.zone,
        )
        spec = msgspec.to_builtins(registration)
        page = await self._store.list_objects(self._kind)
        self._update_peer_addresses(page.records)
        own_records = [record for record in page.records if record.name == self._settings.node_id]
        if not own_records:
            await self._store.create_object(self._kind, self._settings.node_id, spec)
        elif own_records[0].spec != spec:
            changed = msgspec.structs.replace(own_records[0], spec=spec)
            await self._store.replace_object(self._kind, changed)

    def _update_peer_addresses(self, records: list[ObjectRecord]) -> None:
        for node_id, registration in read_registrations(records).items():
            if node_id != self._settings.node_id:
                self._driver.set_peer_address(node_id, registration.ledger_address)
