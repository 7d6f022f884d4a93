"""Catalogues in the docs against the code, and the build's own rules."""

from __future__ import annotations

import re
from pathlib import Path

import testtools
from prometheus_client import CollectorRegistry

from stileloom.callers.metrics import CallerMetrics
from stileloom.daemon.process_metrics import ProcessMetrics
from stileloom.duties.metrics import DutyMetrics
from stileloom.errors import ERROR_RESPONSES, ErrorKind
from stileloom.events import LogEvent
from stileloom.http.metrics import Metric
from stileloom.jobs.metrics import JobMetrics
from stileloom.load import LoadView
from stileloom.load.metrics import LoadMetrics
from stileloom.logging import EventLog
from stileloom.proxy.metrics import ProxyMetrics
from stileloom.quarantine.metrics import QuarantineMetrics

ROOT = Path(__file__).resolve().parents[1]
DOCS = ROOT / "docs"


def rows(page: str) -> list[list[str]]:
    """The cells of every table row of a page."""
    lines = (DOCS / page).read_text().splitlines()
    return [
        [cell.strip(" `") for cell in line.strip("|").split("|")] for line in lines if "|" in line
    ]


def service_metrics() -> dict[str, str]:
    """Names and meanings of the metrics of gateways and ledger nodes."""
    registry = CollectorRegistry()
    CallerMetrics(registry)
    ProxyMetrics(registry)
    QuarantineMetrics(registry)
    JobMetrics(registry)
    DutyMetrics(registry)
    ProcessMetrics(registry, EventLog("n"))
    LoadMetrics(registry, LoadView())
    return {family.name: family.documentation for family in registry.collect()}


class CatalogueTest(testtools.TestCase):
    """Each catalogue names exactly what the code has."""

    def test_log_events(self) -> None:
        documented = {row[0]: row[1] for row in rows("LOG_EVENTS.md") if row[0].startswith("STL-")}
        expected = {event.value: event.name.lower() for event in LogEvent}
        self.assertEqual(expected, documented)

    def test_every_log_event_is_used(self) -> None:
        code = "\n".join(
            path.read_text()
            for path in (ROOT / "stileloom").rglob("*.py")
            if path.name != "events.py"
        )
        unused = [event.name for event in LogEvent if f"LogEvent.{event.name}" not in code]
        self.assertEqual([], unused)

    def test_errors(self) -> None:
        kinds = {kind.value for kind in ErrorKind}
        documented = {row[0]: row[1:5] for row in rows("ERRORS.md") if row[0] in kinds}
        expected = {
            kind.value: [
                str(response.http_status),
                str(response.exit_code),
                response.outcome.value,
                str(response.retry_after_s) if response.retry_after_s is not None else "-",
            ]
            for kind, response in ERROR_RESPONSES.items()
        }
        self.assertEqual(expected, documented)
        self.assertEqual(set(ErrorKind), set(ERROR_RESPONSES))

    def test_metrics(self) -> None:
        documented = {
            row[0]: row[1] for row in rows("METRICS.md") if row[0].startswith("stileloom_")
        }
        expected = {metric.name: metric.value for metric in Metric}
        self.assertEqual(expected | service_metrics(), documented)

    def test_pinned_requirements_name_no_host(self) -> None:
        text = (ROOT / "requirements.txt").read_text()
        self.assertNotIn("://", text)
        for line in text.splitlines():
            self.assertRegex(line, r"^[A-Za-z0-9_.-]+==\S+$")

    def test_links_between_pages(self) -> None:
        broken = []
        for page in [*DOCS.rglob("*.md"), *ROOT.glob("*.md")]:
            for link in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text()):
                if not (page.parent / link).exists():
                    broken.append(f"{page.name}: {link}")
        self.assertEqual([], broken)
