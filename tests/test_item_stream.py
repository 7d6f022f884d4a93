"""Event streams of item runs and their outcomes."""

from __future__ import annotations

import testtools
from tornado.httputil import HTTPHeaders

from stileloom.api.headers import HeaderNames
from stileloom.http1.connection import ExchangeEnd
from stileloom.http1.response_decoder import ResponseHead
from stileloom.jobs.item_stream import ItemStream, RunOutcome
from stileloom.jobs.partial_text import BrokenChain, PartialText

NAMES = HeaderNames()


class Run:
    """An item stream that records its events and outcomes."""

    def __init__(
        self,
        partial: PartialText | None = None,
        min_version: int = 1,
        single_version: bool = False,
    ) -> None:
        self.partial = partial or PartialText()
        self.events: list[int] = []
        self.outcomes: list[RunOutcome] = []
        self.versions: list[int] = []
        self.stream = ItemStream(
            "i",
            self.partial,
            min_version,
            NAMES,
            self.events.append,
            lambda outcome, detail: self.outcomes.append(outcome),
            single_version=single_version,
            on_version=self.versions.append,
            sampler_id="s",
        )

    def head(self, status: int = 200, **headers: str) -> None:
        """Passes a response head to the stream."""
        values = {NAMES.request_id: "i", NAMES.signature: "signed", NAMES.versions: "1"}
        values |= {getattr(NAMES, name): value for name, value in headers.items()}
        self.stream.on_head(ResponseHead(status, "", HTTPHeaders(values)))


def event(number: int, version: int | None = None) -> bytes:
    """Encodes an event."""
    change = f"{NAMES.versions.lower()}: {version}\n" if version is not None else ""
    return f"{change}id: {number}\ndata: d{number}\n\n".encode()


class ItemStreamTest(testtools.TestCase):
    """Contiguity, versions and outcomes of runs."""

    def test_a_complete_run_with_a_version_change(self) -> None:
        run = Run()
        run.head()
        run.stream.on_body(event(1) + event(2, version=2))
        run.stream.on_end(ExchangeEnd.COMPLETE)
        self.assertEqual([RunOutcome.COMPLETE], run.outcomes)
        self.assertEqual(("d1\nd2", [1, 2]), (run.partial.text, run.partial.versions))

    def test_a_resumed_run_records_only_versions_that_generated_events(self) -> None:
        partial = PartialText(["d1"], 1, [3])
        run = Run(partial)
        run.head(versions="4")
        run.stream.on_body(event(2, version=5))
        run.stream.on_end(ExchangeEnd.COMPLETE)
        self.assertEqual([3, 5], partial.versions)

    def test_a_gap_a_repeat_or_a_missing_first_event_breaks_the_run(self) -> None:
        for events in (event(1) + event(3), event(1) + event(1), event(2)):
            run = Run()
            run.head()
            run.stream.on_body(events)
            self.assertEqual([RunOutcome.BROKEN], run.outcomes)
        self.assertRaises(BrokenChain, PartialText().add, 2, "x", 1)

    def test_a_truncated_event_is_ignored(self) -> None:
        run = Run()
        run.head()
        run.stream.on_body(event(1) + event(2)[:-3])
        run.stream.on_end(ExchangeEnd.CUT)
        self.assertEqual(([RunOutcome.BROKEN], ["d1"]), (run.outcomes, run.partial.parts))

    def test_a_clean_end_within_an_event_or_without_any_is_not_complete(self) -> None:
        for body in (event(1) + b"id: 2\nda", b""):
            run = Run()
            run.head()
            run.stream.on_body(body)
            run.stream.on_end(ExchangeEnd.COMPLETE)
            self.assertEqual([RunOutcome.BROKEN], run.outcomes)

    def test_events_of_weights_older_than_the_job_accepts_are_rejected(self) -> None:
        run = Run(min_version=2)
        run.head()
        run.stream.on_body(event(1))
        self.assertEqual(([RunOutcome.TOO_OLD], []), (run.outcomes, run.partial.parts))

    def test_an_answer_to_another_request_is_rejected(self) -> None:
        run = Run()
        run.head(request_id="other")
        run.stream.on_body(event(1))
        self.assertEqual(([RunOutcome.BROKEN], []), (run.outcomes, run.partial.parts))

    def test_outcomes_by_status(self) -> None:
        for status, expected in (
            (500, RunOutcome.FAILED),
            (422, RunOutcome.IMPOSSIBLE),
            (421, RunOutcome.MISDIRECTED),
            (504, RunOutcome.BROKEN),
        ):
            run = Run()
            run.head(status)
            run.stream.on_end(ExchangeEnd.COMPLETE)
            self.assertEqual([expected], run.outcomes)
        run = Run()
        run.head(503, not_run="1")
        run.stream.on_end(ExchangeEnd.COMPLETE)
        self.assertEqual([RunOutcome.REFUSED], run.outcomes)

    def test_status_421_tells_another_version_from_another_sampler(self) -> None:
        """A sampler that refuses a version must not count as gone."""
        text = PartialText(["d1"], 1, [3])
        for single_version, headers, outcome, versions in (
            (True, {"sampler_id": "s"}, RunOutcome.OTHER_VERSION, [4]),
            (True, {}, RunOutcome.OTHER_VERSION, [4]),
            (True, {"sampler_id": "t"}, RunOutcome.MISDIRECTED, []),
            (False, {"sampler_id": "s"}, RunOutcome.REFUSED, []),
            (False, {}, RunOutcome.MISDIRECTED, []),
        ):
            run = Run(text.copy(), single_version=single_version)
            run.head(421, not_run="1", **headers)
            run.stream.on_end(ExchangeEnd.COMPLETE)
            self.assertEqual(([outcome], versions), (run.outcomes, run.versions), headers)

    def test_a_text_of_a_single_version_ends_before_an_event_of_another_one(self) -> None:
        for partial, versions in (
            (PartialText(), ["1"]),
            (PartialText(["d1"], 1, [1]), ["1", "2"]),
        ):
            for stated in versions:
                run = Run(partial.copy(), single_version=True)
                run.head(versions=stated)
                following = (partial.last_event_id or 0) + 1
                run.stream.on_body(event(following) + event(following + 1, version=2))
                self.assertEqual([RunOutcome.OTHER_VERSION], run.outcomes)
                self.assertEqual([1], run.partial.versions)
