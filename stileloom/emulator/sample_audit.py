"""The trainer's own check of what it was delivered; knows nothing of the service's state."""

from __future__ import annotations

import msgspec

from stileloom.emulator.engine_model import make_tokens, token_content, token_version
from stileloom.http.rounds import DeliveryResult


class AuditReport(msgspec.Struct):
    """Counts as a trainer saw them."""

    delivered: int = 0
    duplicated: int = 0
    over_age: int = 0
    wrong_tokens: int = 0
    wrong_versions: int = 0
    """Samples whose segments do not name the versions that made their tokens."""
    ages: list[int] = msgspec.field(default_factory=list)
    """By sample: versions between the oldest in it and the current one at its training."""


class SampleAudit:
    """Checks each delivery against the prompt that asked for it."""

    def __init__(self, staleness_bound: int) -> None:
        self.report = AuditReport()
        self._bound = staleness_bound
        self._expected: dict[str, tuple[str, int]] = {}
        self._seen: set[str] = set()
        self._offsets: set[int] = set()

    def expect(self, prompt_id: str, text: str, length: int) -> None:
        """A prompt was submitted."""
        self._expected[prompt_id] = (text, length)

    @property
    def lost(self) -> int:
        """Prompts without a sample; meaningful once everything should be there."""
        return len(self._expected) - len(self._seen)

    def check(self, delivery: DeliveryResult, current_version: int) -> None:
        """Takes one delivery that is about to be trained on at a version."""
        report = self.report
        report.delivered += 1
        if delivery.prompt_id in self._seen or delivery.offset in self._offsets:
            report.duplicated += 1
        self._seen.add(delivery.prompt_id)
        self._offsets.add(delivery.offset)
        if not self._tokens_fit(delivery):
            report.wrong_tokens += 1
        if not _versions_fit(delivery):
            report.wrong_versions += 1
        oldest = min(segment.weight_version for segment in delivery.segments)
        age = current_version - oldest
        report.ages.append(age)
        if age > self._bound:
            report.over_age += 1

    def _tokens_fit(self, delivery: DeliveryResult) -> bool:
        if delivery.prompt_id not in self._expected:
            return False
        text, length = self._expected[delivery.prompt_id]
        expected = [token_content(token) for token in make_tokens(text, 0, length, 0)]
        return [token_content(token) for token in delivery.tokens] == expected


def _versions_fit(delivery: DeliveryResult) -> bool:
    """Whether the segments cover the tokens and name the version inside each."""
    position = 0
    for segment in delivery.segments:
        if segment.first_token != position:
            return False
        position += segment.token_count
        made_by = delivery.tokens[segment.first_token : position]
        if any(token_version(token) != segment.weight_version for token in made_by):
            return False
    return position == len(delivery.tokens)
