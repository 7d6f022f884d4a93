"""Tests that nodes tolerate invalid entries of other writers in the object store."""

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

VALID_SPEC = {"service": "s", "address": "10.0.0.1:80", "zone": "a", "slots": 4}


class DirectoryTest(testtools.TestCase):
    """Sampler entries that another writer has made invalid."""

    def make_directory(self) -> Directory:
        """Creates a directory whose records are supplied by the test."""
        configure_logs("error")
        log = EventLog("node")
        store = NativeObjectStore(ObjectApi("127.0.0.1:1"))
        metrics = ProcessMetrics(CollectorRegistry(), log)
        return Directory(store, NativeDialect(), TimeBounds(), log, random.Random(1), metrics)

    def test_an_overwritten_sampler_is_unused_until_its_entry_is_valid_again(self) -> None:
        directory = self.make_directory()
        unlisted: list[str] = []
        directory.on_sampler_unlisted = unlisted.append
        directory._samplers_listed(
            [ObjectRecord("a", 1, VALID_SPEC), ObjectRecord("b", 1, VALID_SPEC)]
        )
        foreign = ObjectRecord("a", 2, {"address": 7})
        directory._sampler_changed(ObjectEvent(False, foreign))
        self.assertEqual(["a"], unlisted)
        self.assertEqual(
            ["b"], [tracked.entry.sampler_id for tracked in directory.samplers.of_service("s")]
        )
        directory._sampler_changed(ObjectEvent(False, ObjectRecord("a", 3, VALID_SPEC)))
        self.assertEqual(2, len(directory.samplers.of_service("s")))

    def test_an_invalid_entry_does_not_hide_other_samplers(self) -> None:
        directory = self.make_directory()
        directory._samplers_listed([ObjectRecord("a", 1, None), ObjectRecord("b", 1, VALID_SPEC)])
        self.assertTrue(directory.samplers.has_listing)
        self.assertEqual(1, len(directory.samplers.of_service("s")))


class RegistrationTest(testtools.TestCase):
    """An invalid registration must not end the task that reads registrations."""

    def test_invalid_registrations_are_skipped(self) -> None:
        valid = {"ledger": "10.0.0.2:1", "calls": "10.0.0.2:2", "disk": "d"}
        specs = [None, "text", {}, {"calls": 5}, valid | {"calls": "10.0.0.2"}, valid]
        records = [ObjectRecord(f"node-{number}", 1, spec) for number, spec in enumerate(specs)]
        found = read_registrations(records)
        self.assertEqual(["node-5"], list(found))
        self.assertEqual(("10.0.0.2", 2), found["node-5"].calls_address)

    def test_entries_of_earlier_and_later_releases_decode(self) -> None:
        """During an upgrade nodes of two releases read each other's entries."""
        earlier = {"ledger": "10.0.0.2:1", "calls": "10.0.0.2:2", "disk": "d"}
        specs = [earlier, earlier | {"zone": "a"}, earlier | {"zone": "a", "later": [1]}]
        records = [ObjectRecord(f"node-{number}", 1, spec) for number, spec in enumerate(specs)]
        found = read_registrations(records)
        self.assertEqual(["", "a", "a"], [found[f"node-{number}"].zone for number in range(3)])

    def test_a_zone_of_a_wrong_type_does_not_hide_the_addresses(self) -> None:
        """Jobs, caches and peers would lose the node over a field that only load sharing reads."""
        valid = {"ledger": "10.0.0.1:80", "calls": "10.0.0.1:81", "disk": "d"}
        for zone in (None, 7, ["a"], {"name": "a"}):
            record = ObjectRecord("node", 1, valid | {"zone": zone})
            found = read_registrations([record])
            self.assertEqual(["node"], list(found), zone)
            self.assertEqual("", found["node"].zone)
