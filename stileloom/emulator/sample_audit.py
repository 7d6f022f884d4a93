"""The trainer's own check of what it was delivered; knows nothing of the service's state."""

from __future__ import annotations

import msgspec

from stileloom.emulator.engine_model import make_tokens, token_content
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
        self._check_tokens(delivery)
        oldest = min(segment.weight_version for segment in delivery.segments)
        age = current_version - oldest
        report.ages.append(age)
        if age > self._bound:
            report.over_age += 1

    def _check_tokens(self, delivery: DeliveryResult) -> None:
        """Each token must be its prompt's at its place, made by the version that is named."""
        text, length = self._expected.get(delivery.prompt_id, ("", -1))
        position = 0
        right = True
        for segment in delivery.segments:
            end = segment.first_token + segment.token_count
            made = delivery.tokens[segment.first_token : end]
            named = make_tokens(text, segment.first_token, end, segment.weight_version)
            if segment.first_token != position or made != named:
                right = False
            position = end
        if right and position == len(delivery.tokens) == length:
            return
        content = [token_content(token) for token in make_tokens(text, 0, max(0, length), 0)]
        if [token_content(token) for token in delivery.tokens] != content:
            self.report.wrong_tokens += 1
        else:
            self.report.wrong_versions += 1
