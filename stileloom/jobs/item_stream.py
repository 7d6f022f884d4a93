"""Reads the event stream of one run and checks that its events are contiguous."""

from __future__ import annotations

import enum
from collections.abc import Callable

from stileloom.api.headers import HeaderNames
from stileloom.http1.answer import (
    MISDIRECTED_STATUS,
    AnswerKind,
    NotAnAnswer,
    classify_answer,
)
from stileloom.http1.connection import ExchangeEnd
from stileloom.http1.event_stream import EventStreamParser, MalformedEvent
from stileloom.http1.limits import MAX_ERROR_BYTES, parse_figure
from stileloom.http1.response_decoder import ResponseHead
from stileloom.jobs.partial_text import BrokenChain, PartialText

MAX_TEXT_BYTES = 16 * 1024 * 1024
"""Text of one item, in characters. Results and saved texts pass through the ledger's memory."""


class RunOutcome(enum.Enum):
    """Outcome of a run."""

    COMPLETE = "whole"
    REFUSED = "refused"
    """The sampler did not run the item."""
    MISDIRECTED = "misdirected"
    """The address belongs to another sampler."""
    FAILED = "failed"
    """Status 500: counts as a failed attempt of the item."""
    IMPOSSIBLE = "impossible"
    """Status 422: the sampler can never run the item."""
    TOO_LONG = "too_long"
    """The text exceeds `MAX_TEXT_BYTES`; it is dropped."""
    OTHER_VERSION = "other_version"
    """The sampler's weights differ from those of the text, which must have a single version."""
    TOO_OLD = "too_old"
    """The sampler's weights are older than the job accepts."""
    BROKEN = "broken"
    """The stream was invalid or ended early; the item is resumed on another sampler."""


class ItemStream:
    """Processes one response; reports each event, and the outcome exactly once."""

    def __init__(
        self,
        item_id: str,
        partial: PartialText,
        min_version: int,
        names: HeaderNames,
        on_event: Callable[[int], None],
        on_outcome: Callable[[RunOutcome, str], None],
        on_sampler_head: Callable[[ResponseHead], None] = lambda head: None,
        single_version: bool = False,
        on_version: Callable[[int], None] = lambda version: None,
        sampler_id: str = "",
    ) -> None:
        """`on_sampler_head` receives the head if the addressed sampler sent it for this item, and
        `on_version` each version that the sampler has at least."""
        self.version = 0
        self._item_id = item_id
        self._partial = partial
        self._min_version = min_version
        self._names = names
        self._on_event = on_event
        self._on_outcome = on_outcome
        self._on_sampler_head = on_sampler_head
        self._single_version = single_version
        self._on_version = on_version
        self._sampler_id = sampler_id
        self._expected_version = (
            partial.versions[-1] if single_version and partial.versions else None
        )
        """The version that the request expects, if any."""
        self._parser = EventStreamParser(names.versions)
        self._text_bytes = sum(len(part) for part in partial.parts)
        self._error_bytes = 0
        self._head: ResponseHead | None = None
        self._kind = AnswerKind.RAN
        self._ended = False

    def on_head(self, head: ResponseHead) -> None:
        """Handles the status and headers."""
        self._head = head
        try:
            self._kind = classify_answer(head, self._item_id, self._sampler_id, self._names)
        except NotAnAnswer as error:
            self._finish(RunOutcome.BROKEN, str(error))
            return
        if self._kind is not AnswerKind.MISDIRECTED:
            self._on_sampler_head(head)
        if head.status == 200:
            version = parse_figure(head.headers.get(self._names.versions, "").strip())
            if version is None:
                self._finish(RunOutcome.BROKEN, "response has no weight version")
            else:
                self._update_version(version)

    def on_body(self, data: bytes) -> None:
        """Handles a part of the body."""
        if self._ended or self._head is None:
            return
        if self._head.status != 200:
            self._error_bytes += len(data)
            if self._error_bytes > MAX_ERROR_BYTES:
                self._finish(RunOutcome.BROKEN, f"response exceeds {MAX_ERROR_BYTES} bytes")
            return
        try:
            for event in self._parser.feed(data):
                if event.version is not None:
                    self._update_version(event.version)
                if self._ended:
                    return
                self._text_bytes += len(event.data)
                if self._text_bytes > MAX_TEXT_BYTES:
                    self._finish(RunOutcome.TOO_LONG, f"text exceeds {MAX_TEXT_BYTES} bytes")
                    return
                self._partial.add(event.event_id, event.data, self.version)
                self._on_event(event.event_id)
        except (MalformedEvent, BrokenChain) as error:
            self._finish(RunOutcome.BROKEN, str(error))

    def on_end(self, end: ExchangeEnd) -> None:
        """Handles the end of the response."""
        if self._ended:
            return
        if end is not ExchangeEnd.COMPLETE or self._head is None:
            self._finish(RunOutcome.BROKEN, end.value)
        elif self._head.status == 200:
            if self._parser.has_partial or self._partial.last_event_id is None:
                self._finish(RunOutcome.BROKEN, "stream ended within an event or without any")
            else:
                self._finish(RunOutcome.COMPLETE, "")
        else:
            self._finish(*self._classify_status(self._head))

    def _classify_status(self, head: ResponseHead) -> tuple[RunOutcome, str]:
        detail = str(head.status)
        if self._expected_version is not None and self._has_other_version(head):
            # Versions of a sampler never decrease.
            self._on_version(self._expected_version + 1)
            return RunOutcome.OTHER_VERSION, f"{detail}, not version {self._expected_version}"
        if self._kind is AnswerKind.MISDIRECTED:
            return RunOutcome.MISDIRECTED, detail
        if self._kind is AnswerKind.NOT_RUN:
            return RunOutcome.REFUSED, detail
        if head.status == 500:
            return RunOutcome.FAILED, detail
        if head.status == 422:
            return RunOutcome.IMPOSSIBLE, detail
        return RunOutcome.BROKEN, detail

    def _has_other_version(self, head: ResponseHead) -> bool:
        """Whether the addressed sampler refuses the version that the request expects."""
        answering_id = head.headers.get(self._names.sampler_id, self._sampler_id)
        return head.status == MISDIRECTED_STATUS and answering_id == self._sampler_id

    def _conflicts(self, version: int) -> bool:
        """Whether an event of this version would add a second one to a single-version text."""
        return self._single_version and self._partial.versions not in ([], [version])

    def _update_version(self, version: int) -> None:
        self.version = version
        self._on_version(version)
        if version < self._min_version:
            self._finish(RunOutcome.TOO_OLD, f"version {version} below {self._min_version}")
        elif self._conflicts(version):
            versions = ", ".join(map(str, self._partial.versions))
            self._finish(RunOutcome.OTHER_VERSION, f"version {version} after {versions}")

    def _finish(self, outcome: RunOutcome, detail: str) -> None:
        if not self._ended:
            self._ended = True
            self._on_outcome(outcome, detail)
