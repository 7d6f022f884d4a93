"""Admits requests, attributes sampler crashes to them, and reports the crashes to the ledger.

Each process that sends requests to samplers has one guard. It follows the ledger's quarantine
listing, which counts the crashes of the whole fleet; local crashes count at once, also while the
ledger is unreachable. Requests under which no sampler crashed cause no messages to the ledger.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from stileloom.api.sampler_directory import SamplerEntry
from stileloom.background import BackgroundTasks
from stileloom.clock import steady_time
from stileloom.errors import ErrorKind, StileloomError
from stileloom.events import LogEvent
from stileloom.logging import EventLog
from stileloom.proxy.sampler_table import SamplerTable
from stileloom.quarantine.book import CRASH_THRESHOLD
from stileloom.quarantine.end_probe import ProbeResult, probe_listener
from stileloom.quarantine.messages import QuarantineListing, SamplerCrash
from stileloom.quarantine.metrics import QuarantineMetrics
from stileloom.quarantine.view import QuarantineView

CRASH_ATTRIBUTION_WINDOW_S = 1.5
"""A crash is attributed only to requests that started within this time before it. Poison requests
crash a sampler within about 0.1 s of leaving its queue."""
PROBE_WAIT_S = 0.03
"""How long a retry waits for the probe of the sampler that failed."""
WATCH_WAIT_S = 2.0
"""Long-poll duration. Changes are delivered at once; an unresponsive connection is detected after
this plus the call timeout."""
RETRY_DELAY_S = 0.3
"""Delay between retries while the ledger is unavailable."""
REPORT_BATCH_DELAY_S = 0.02
"""Batching delay: one report includes all requests that were running on a crashed sampler."""
MAX_REPORT_ITEMS = 500


class QuarantineLedger(Protocol):
    """The ledger as seen by a guard. All calls raise `StileloomError` if no leader replies."""

    async def report(self, crashes: list[SamplerCrash], succeeded: list[str]) -> int:
        """Records crashes and successful responses; returns the revision that covers them."""

    async def watch(self, known_revision: int, wait_s: float) -> QuarantineListing | None:
        """The listing once its revision differs from `known_revision`, or None after `wait_s`."""

    async def start_trial(self, identity: str) -> bool:
        """Requests a trial; returns whether the request may run."""


class Permit:
    """Admission of one arrival of a request; tracks how many attempts it has left."""

    def __init__(
        self,
        guard: QuarantineGuard,
        request_id: str,
        compute_identity: Callable[[], str],
        trial: bool,
    ) -> None:
        self._guard = guard
        self._request_id = request_id
        self._compute_identity = compute_identity
        self._identity = ""
        self._trial = trial
        self._local_crashes: set[str] = set()

    @property
    def identity(self) -> str:
        """The request's identity, computed on first use."""
        if not self._identity:
            self._identity = self._compute_identity()
        return self._identity

    @property
    def suspected(self) -> bool:
        """Whether any sampler is known to have crashed under the request."""
        return self._trial or self._crash_count() > 0

    @property
    def attempts_left(self) -> int:
        """How many more attempts the request has before it is quarantined.

        An admitted request has at least one, even if its crashes reach the threshold: it is not
        quarantined while other requests share all of them.
        """
        minimum = 0 if self._local_crashes else 1
        return minimum if self._trial else max(minimum, CRASH_THRESHOLD - self._crash_count())

    def _crash_count(self) -> int:
        if self._guard.view.has_no_suspects and not self._local_crashes:
            return 0
        return len(self._crashed_samplers())

    def _crashed_samplers(self) -> set[str]:
        return self._local_crashes | self._guard.view.crashed_samplers(self.identity)

    def leaves_healthy_sampler(self, samplers: SamplerTable, service: str) -> bool:
        """Whether a healthy sampler of the service remains if the request crashes the next one.

        A suspect is sent only if this holds, so that its retries can't crash every sampler of the
        service. Services with a single listed sampler are exempt.
        """
        if not self.suspected or len(samplers.of_service(service)) == 1:
            return True
        return len(samplers.responsive_incarnations(service) - self._crashed_samplers()) > 1

    async def on_attempt_failed(self, entry: SamplerEntry, started_at: float) -> None:
        """Handles a failed attempt: probes the sampler, and records a crash if it has crashed."""
        ran_s = steady_time() - started_at
        if ran_s > CRASH_ATTRIBUTION_WINDOW_S:
            return
        probing = self._guard.probe_sampler(self._request_id, self.identity, entry, ran_s)
        task = asyncio.get_running_loop().create_task(probing)
        task.add_done_callback(lambda done: self._on_probe_done(done, entry))
        await asyncio.wait((task,), timeout=PROBE_WAIT_S)

    def _on_probe_done(self, done: asyncio.Task[bool], entry: SamplerEntry) -> None:
        if done.cancelled():
            return
        error = done.exception()
        if error is not None:
            self._guard.log_internal_error(self._request_id, error)
        elif done.result():
            self._local_crashes.add(entry.incarnation)

    def record_success(self) -> None:
        """Records a successful response, which clears the request if it was a suspect."""
        self._guard.record_success(self.identity, suspected=self.suspected)


class QuarantineGuard:
    """Admits the requests of one process and reports their crashes and successes."""

    def __init__(
        self,
        ledger: QuarantineLedger,
        log: EventLog,
        metrics: QuarantineMetrics,
        on_probe: Callable[[], None] = lambda: None,
    ) -> None:
        self.view = QuarantineView()
        self._ledger = ledger
        self._log = log
        self._metrics = metrics
        self._on_probe = on_probe
        self._tasks = BackgroundTasks(log)
        self._unreported_crashes: list[SamplerCrash] = []
        self._unreported_successes: list[str] = []
        self._reporting = False
        self._stopped = False
        metrics.observe_quarantined(lambda: self.view.quarantined_count)

    def start(self) -> None:
        """Starts following the quarantine listing."""
        self._tasks.spawn(self._follow())

    def stop(self) -> None:
        """Stops following and reporting."""
        self._stopped = True
        self._tasks.cancel()

    async def admit(self, request_id: str, compute_identity: Callable[[], str]) -> Permit:
        """Admits a request, or raises `StileloomError` (QUARANTINED).

        A quarantined request is admitted for one run if the ledger grants a trial.
        """
        permit = Permit(self, request_id, compute_identity, trial=False)
        if self.view.has_no_suspects or not self.view.is_quarantined(permit.identity):
            return permit
        identity = permit.identity
        trial_in_s = self.view.trial_in_s(identity, steady_time())
        if trial_in_s <= 0.0 and await self._trial_granted(request_id, identity):
            return Permit(self, request_id, lambda: identity, trial=True)
        raise self.refusal(identity)

    def refusal(self, identity: str) -> StileloomError:
        """The error for a quarantined request; its Retry-After is the time until the next trial."""
        self._metrics.refused.inc()
        crashed = sorted(self.view.crashed_samplers(identity))
        trial_in_s = self.view.trial_in_s(identity, steady_time())
        detail = f"identity {identity}: samplers {', '.join(crashed)} crashed soon after its start"
        retry_after_s = round(trial_in_s) if 0.0 < trial_in_s < float("inf") else None
        return StileloomError(ErrorKind.QUARANTINED, detail, None, retry_after_s)

    async def _trial_granted(self, request_id: str, identity: str) -> bool:
        try:
            granted = await self._ledger.start_trial(identity)
        except StileloomError as error:
            self._log_ledger_failure("trial", error)
            return False
        self._metrics.trials.labels("granted" if granted else "refused").inc()
        self._log.emit(
            LogEvent.QUARANTINE_TRIAL,
            {"request": request_id, "identity": identity, "granted": granted},
        )
        return granted

    async def probe_sampler(
        self, request_id: str, identity: str, entry: SamplerEntry, ran_s: float
    ) -> bool:
        """Probes a sampler whose connection broke; if it crashed, reports that and returns True."""
        result = await probe_listener(entry.address, self._on_probe)
        self._metrics.probes.labels(result.value).inc()
        fields: dict[str, object] = {
            "request": request_id,
            "identity": identity,
            "sampler": entry.sampler_id,
            "ran_ms": round(ran_s * 1000),
            "sign": result.value,
        }
        self._log.emit(LogEvent.SAMPLER_PROBED, fields)
        if result is not ProbeResult.REFUSED:
            return False
        crash = SamplerCrash(identity, entry.incarnation)
        self.view.record_crash(crash)
        self._unreported_crashes.append(crash)
        self._schedule_report()
        return True

    def log_internal_error(self, request_id: str, error: BaseException) -> None:
        """Logs an internal error raised by a probe; no crash is recorded."""
        fields: dict[str, object] = {"request": request_id, "error": repr(error)}
        self._log.emit(LogEvent.INTERNAL_FAULT, fields)

    def record_success(self, identity: str, suspected: bool) -> None:
        """Records a successful response; reports it if the request was a suspect."""
        known = self.view.record_success(identity, steady_time())
        if known or suspected:
            self._report_success(identity)

    def _report_success(self, identity: str) -> None:
        if identity not in self._unreported_successes:
            self._unreported_successes.append(identity)
        self._schedule_report()

    def _schedule_report(self) -> None:
        if not self._reporting and not self._stopped:
            self._reporting = True
            self._tasks.spawn(self._report())

    async def _report(self) -> None:
        """Sends pending reports until the ledger has accepted all of them."""
        try:
            while (self._unreported_crashes or self._unreported_successes) and not self._stopped:
                await asyncio.sleep(REPORT_BATCH_DELAY_S)
                crashes, succeeded = (
                    self._unreported_crashes[:MAX_REPORT_ITEMS],
                    self._unreported_successes[:MAX_REPORT_ITEMS],
                )
                try:
                    revision = await self._ledger.report(crashes, succeeded)
                except StileloomError as error:
                    self._log_ledger_failure("report", error)
                    await asyncio.sleep(RETRY_DELAY_S)
                    continue
                del self._unreported_crashes[: len(crashes)]
                del self._unreported_successes[: len(succeeded)]
                self.view.mark_reported(crashes, revision)
                self._metrics.reported.labels("end").inc(len(crashes))
                self._metrics.reported.labels("answered").inc(len(succeeded))
        finally:
            self._reporting = False

    async def _follow(self) -> None:
        while True:
            try:
                listing = await self._ledger.watch(self.view.revision, WATCH_WAIT_S)
            except StileloomError:
                # Logged by the ledger client. The current listing stays in effect.
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if listing is not None:
                self.apply_listing(listing)

    def apply_listing(self, listing: QuarantineListing) -> None:
        """Applies a listing; reports quarantined requests that recently succeeded at this node."""
        for identity in self.view.apply_listing(listing, steady_time()):
            self._report_success(identity)
        self._log.emit(
            LogEvent.QUARANTINE_LEARNED,
            {
                "revision": listing.revision,
                "held": [item.identity for item in listing.suspects if item.quarantined][:20],
                "suspects": len(listing.suspects),
            },
        )

    def _log_ledger_failure(self, what: str, error: StileloomError) -> None:
        self._log.emit(
            LogEvent.QUARANTINE_UNREACHABLE,
            {"what": what, "detail": error.detail, "ends": len(self._unreported_crashes)},
        )
