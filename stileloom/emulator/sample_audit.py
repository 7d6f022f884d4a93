"""Verifies the samples delivered to a trainer, independently of the service's state."""

from __future__ import annotations

import msgspec

from stileloom.emulator.engine_model import make_tokens, token_content
from stileloom.http.rounds import DeliveryResult


class AuditReport(msgspec.Struct):
    """Counts of the samples that a trainer received."""

    delivered: int = 0
    duplicated: int = 0
    over_age: int = 0
    wrong_tokens: int = 0
    wrong_versions: int = 0
    """Samples whose segments report versions other than those that generated their tokens."""
    ages: list[int] = msgspec.field(default_factory=list)
    """For each sample, the version current at its training minus the oldest one in the sample."""


class SampleAudit:
    """Checks each delivery against its prompt."""

    def __init__(self, staleness_bound: int) -> None:
        self.report = AuditReport()
        self._bound = staleness_bound
        self._expected: dict[str, tuple[str, int]] = {}
        self._seen: set[str] = set()
        self._offsets: set[int] = set()

    def expect(self, prompt_id: str, text: str, length: int) -> None:
        """Records a submitted prompt."""
        self._expected[prompt_id] = (text, length)

    @property
    def lost(self) -> int:
        """Number of prompts without a sample; valid once all deliveries are expected."""
        return len(self._expected) - len(self._seen)

    def check(self, delivery: DeliveryResult, current_version: int) -> None:
        """Checks a delivery that is about to be used to train from `current_version`."""
        report = self.report
        report.delivered += 1
        if delivery.prompt_id in self._seen or delivery.offset in self._offsets:
            report.duplicated += 1
        self._seen.add(delivery.prompt_id)
        self._offsets.add(delivery.offset)
        self._check_tokens(delivery)
        oldest = min(segment.weight_version for segment in delivery.segments)
        age = current_version - oldest
        report.ages.append(age)
        if age > self._bound:
            report.over_age += 1

    def _check_tokens(self, delivery: DeliveryResult) -> None:
        """Checks that each token matches its prompt, its position and the reported version."""
        text, length = self._expected.get(delivery.prompt_id, ("", -1))
        position = 0
        matches = True
        for segment in delivery.segments:
            end = segment.first_token + segment.token_count
            actual = delivery.tokens[segment.first_token : end]
            expected = make_tokens(text, segment.first_token, end, segment.weight_version)
            if segment.first_token != position or actual != expected:
                matches = False
            position = end
        if matches and position == len(delivery.tokens) == length:
            return
        content = [token_content(token) for token in make_tokens(text, 0, max(0, length), 0)]
        if [token_content(token) for token in delivery.tokens] != content:
            self.report.wrong_tokens += 1
        else:
            self.report.wrong_versions += 1
