"""Entries of other writers in the store: what nodes make of them."""

from __future__ import annotations

import random

import testtools
from prometheus_client import CollectorRegistry

from stileloom.api.object_store import ObjectEvent, ObjectRecord
from stileloom.daemon.directory import Directory
from stileloom.daemon.native_object_store import NativeObjectStore
from stileloom.daemon.platform_client import ObjectApi
from stileloom.daemon.process_metrics import ProcessMetrics
from stileloom.http.native_dialect import NativeDialect
from stileloom.ledger.registration import read_registrations
from stileloom.logging import EventLog, configure_logs
from stileloom.service_settings import TimeBounds

OWN = {"service": "s", "address": "10.0.0.1:80", "zone": "a", "slots": 4}


class DirectoryTest(testtools.TestCase):
    """A sampler whose entry another writer came over."""

    def directory(self) -> Directory:
        """One that is told its records by hand."""
        configure_logs("error")
        log = EventLog("node")
        store = NativeObjectStore(ObjectApi("127.0.0.1:1"))
        metrics = ProcessMetrics(CollectorRegistry(), log)
        return Directory(store, NativeDialect(), TimeBounds(), log, random.Random(1), metrics)

    def test_it_is_not_used_meanwhile_and_judged_anew_when_its_own_entry_is_back(self) -> None:
        directory = self.directory()
        gone: list[str] = []
        directory.on_sampler_gone = gone.append
        directory._samplers_listed([ObjectRecord("a", 1, OWN), ObjectRecord("b", 1, OWN)])
        foreign = ObjectRecord("a", 2, {"address": 7})
        directory._sampler_changed(ObjectEvent(False, foreign))
        self.assertEqual(["a"], gone)
        self.assertEqual(
            ["b"], [tracked.entry.sampler_id for tracked in directory.samplers.of_service("s")]
        )
        directory._sampler_changed(ObjectEvent(False, ObjectRecord("a", 3, OWN)))
        self.assertEqual(2, len(directory.samplers.of_service("s")))

    def test_it_hides_no_other_sampler_of_a_list(self) -> None:
        directory = self.directory()
        directory._samplers_listed([ObjectRecord("a", 1, None), ObjectRecord("b", 1, OWN)])
        self.assertTrue(directory.samplers.has_listing)
        self.assertEqual(1, len(directory.samplers.of_service("s")))


class RegistrationTest(testtools.TestCase):
    """Registrations of ledger nodes: one that was not understood ended the task that reads them."""

    def test_what_no_ledger_node_wrote_is_passed_by(self) -> None:
        own = {"ledger": "10.0.0.2:1", "calls": "10.0.0.2:2", "disk": "d"}
        specs = [None, "text", {}, {"calls": 5}, own | {"calls": "10.0.0.2"}, own]
        records = [ObjectRecord(f"node-{number}", 1, spec) for number, spec in enumerate(specs)]
        found = read_registrations(records)
        self.assertEqual(["node-5"], list(found))
        self.assertEqual(("10.0.0.2", 2), found["node-5"].calls_address)
