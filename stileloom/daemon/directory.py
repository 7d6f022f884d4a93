"""A node's view of the object store: the active routes and the samplers."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from stileloom.api.dialect import Dialect
from stileloom.api.object_store import ObjectEvent, ObjectRecord, ObjectStore
from stileloom.api.sampler_directory import SamplerEntry, check_entry
from stileloom.background import BackgroundTasks
from stileloom.daemon.object_watch import ObjectWatcher
from stileloom.daemon.process_metrics import ProcessMetrics
from stileloom.errors import StileloomError
from stileloom.events import LogEvent
from stileloom.logging import EventLog
from stileloom.proxy.route_table import RouteTable
from stileloom.proxy.sampler_table import SamplerChange, SamplerTable
from stileloom.service_settings import TimeBounds

BATCHING_DELAY_FRACTION = 0.1
"""Delay after a change, as a fraction of the time bound; lets one call fetch several changes."""
MAX_REPORTED_OBJECTS = 1000


class Directory:
    """Watches the configuration and the list of samplers."""

    def __init__(
        self,
        store: ObjectStore,
        dialect: Dialect,
        bounds: TimeBounds,
        log: EventLog,
        rng: random.Random,
        metrics: ProcessMetrics,
    ) -> None:
        self.routes = RouteTable(rng)
        self.samplers = SamplerTable()
        self.on_sampler_listed: Callable[[SamplerEntry], None] = lambda entry: None
        self.on_sampler_unlisted: Callable[[str], None] = lambda sampler_id: None
        self.on_routes_changed: Callable[[], None] = lambda: None
        self._dialect = dialect
        self._log = log
        self._undecodable: dict[tuple[str, str], int] = {}
        """Revisions of the objects that were reported as undecodable, by kind and name."""
        self._tasks = BackgroundTasks(log)
        kinds = dialect.kinds

        def record_outcome(kind: str, outcome: str) -> None:
            metrics.store_calls.labels(kind, outcome).inc()

        self._watchers = [
            ObjectWatcher(
                store,
                kinds.configuration,
                self._configurations_listed,
                self._configuration_changed,
                bounds.configuration_s * BATCHING_DELAY_FRACTION,
                log,
                rng,
                record_outcome=record_outcome,
            ),
            ObjectWatcher(
                store,
                kinds.samplers,
                self._samplers_listed,
                self._sampler_changed,
                bounds.sampler_drain_s * BATCHING_DELAY_FRACTION,
                log,
                rng,
                record_outcome=record_outcome,
            ),
        ]
        metrics.observe_routes(lambda: self.routes.version)
        for kind, watcher in zip(
            (kinds.configuration, kinds.samplers), self._watchers, strict=True
        ):
            metrics.observe_age(kind, partial(getattr, watcher, "synced_at"))

    @property
    def is_initialized(self) -> bool:
        """Whether a configuration has been adopted and the samplers have been listed."""
        return self.routes.version > 0 and self.samplers.has_listing

    def start(self) -> None:
        """Starts the watches."""
        for watcher in self._watchers:
            self._tasks.spawn(watcher.run())

    def stop(self) -> None:
        """Stops the watches."""
        self._tasks.cancel()

    def _configurations_listed(self, records: list[ObjectRecord]) -> None:
        for record in records:
            self._adopt_configuration(record)

    def _configuration_changed(self, event: ObjectEvent) -> None:
        if not event.gone:
            self._adopt_configuration(event.record)

    def _adopt_configuration(self, record: ObjectRecord) -> None:
        if record.name != self._dialect.kinds.configuration_name:
            return
        try:
            configuration = self._dialect.decode_configuration(record.spec)
        except StileloomError as error:
            self._report_undecodable("configuration", record, error)
            return
        previous_version = self.routes.version
        adopted = self.routes.adopt(configuration)
        event = LogEvent.ROUTES_ADOPTED if adopted else LogEvent.ROUTES_REFUSED
        if adopted or configuration.version < previous_version:
            fields: dict[str, object] = {
                "version": configuration.version,
                "before": previous_version,
                "revision": record.revision,
            }
            self._log.emit(event, fields)
        if adopted:
            self.on_routes_changed()

    def _samplers_listed(self, records: list[ObjectRecord]) -> None:
        entries = [entry for record in records if (entry := self._decode(record)) is not None]
        for sampler_id in self.samplers.replace_all(entries):
            self._report_unlisted(sampler_id, "no longer listed, or restarted")
        for entry in entries:
            self.on_sampler_listed(entry)

    def _sampler_changed(self, event: ObjectEvent) -> None:
        if event.gone:
            self.samplers.remove(event.record.name)
            self._report_unlisted(event.record.name, "entry removed")
            return
        entry = self._decode(event.record)
        if entry is None:
            # Another writer may have overwritten the entry: remove the sampler until its entry is
            # valid again.
            if self.samplers.get(event.record.name) is not None:
                self.samplers.remove(event.record.name)
                self._report_unlisted(event.record.name, "entry could not be decoded")
            return
        change = self.samplers.put(entry)
        if change is not SamplerChange.NONE:
            self._report_unlisted(entry.sampler_id, change.value)
        self.on_sampler_listed(entry)

    def _report_unlisted(self, sampler_id: str, reason: str) -> None:
        self._log.emit(LogEvent.SAMPLER_UNLISTED, {"sampler": sampler_id, "sign": reason})
        self.on_sampler_unlisted(sampler_id)

    def _decode(self, record: ObjectRecord) -> SamplerEntry | None:
        try:
            entry = self._dialect.decode_sampler(record)
            check_entry(entry)
        except StileloomError as error:
            self._report_undecodable("sampler", record, error)
            return None
        self._undecodable.pop(("sampler", record.name), None)
        if self.samplers.get(entry.sampler_id) is None and not entry.draining:
            fields: dict[str, object] = {"sampler": entry.sampler_id, "service": entry.service}
            self._log.emit(LogEvent.SAMPLER_LISTED, fields)
        return entry

    def _report_undecodable(self, what: str, record: ObjectRecord, error: StileloomError) -> None:
        """Logs an object that cannot be decoded, once for each of its revisions."""
        if self._undecodable.get((what, record.name)) == record.revision:
            return
        self._undecodable[(what, record.name)] = record.revision
        while len(self._undecodable) > MAX_REPORTED_OBJECTS:
            self._undecodable.pop(next(iter(self._undecodable)))
        self._log.emit(
            LogEvent.OBJECT_NOT_UNDERSTOOD,
            {
                "what": what,
                "name": record.name,
                "revision": record.revision,
                "detail": error.detail,
            },
        )
