"""The oracle: what callers, trainers and engines saw, judged against the nine promises.

It knows nothing of how the system works. Every fault it finds is a line in `violations`.
"""

from __future__ import annotations

import msgspec

from stileloom.emulator.engine_model import make_tokens, token_content
from stileloom.errors import Outcome

LEAVING_GRACE_S = 3.0
"""New work on a leaving back end must stop within this time of the sign that was seen."""


class LookupFact(msgspec.Struct):
    """A lookup as its caller knows it."""

    request_id: str
    prompt: str
    length: int
    repeatable: bool
    key: str
    answers: int = 0
    outcome: Outcome | None = None


class Oracle:
    """Collects facts and finds broken promises."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self._lookups: dict[str, LookupFact] = {}
        self._began: dict[str, int] = {}
        self._highest_in_force = 0
        self._adopted: dict[str, int] = {}
        self._leaving_since: dict[str, float] = {}

    def _broken(self, text: str) -> None:
        if len(self.violations) < 50:
            self.violations.append(text)

    # Lookups: whole answers, `not_run` is true, at most once.

    def sent(self, fact: LookupFact) -> None:
        """A caller sent a lookup."""
        self._lookups[fact.request_id] = fact

    def answered(self, request_id: str, outcome: Outcome, tokens: list[int]) -> None:
        """A caller got an answer."""
        fact = self._lookups[request_id]
        fact.answers += 1
        fact.outcome = outcome
        if fact.answers > 1:
            self._broken(f"lookup {request_id} was answered {fact.answers} times")
        if outcome is Outcome.COMPLETED:
            expected = make_tokens(fact.prompt, 0, fact.length, 0)
            if [token_content(t) for t in tokens] != [token_content(t) for t in expected]:
                self._broken(f"lookup {request_id} got a wrong or partial answer")

    def engine_began(self, now: float, sampler_id: str, attempt_id: str) -> None:
        """An engine began a generation."""
        request_id = attempt_id.rsplit("#", 1)[0]
        self._began[request_id] = self._began.get(request_id, 0) + 1
        since = self._leaving_since.get(sampler_id)
        if since is not None and now > since + LEAVING_GRACE_S:
            self._broken(f"{sampler_id} got new work {now - since:.1f} s after it began to leave")

    def sampler_leaving(self, now: float, sampler_id: str) -> None:
        """The system was told that a back end is leaving, with nothing cut off."""
        self._leaving_since.setdefault(sampler_id, now)

    def check_lookups(self) -> None:
        """Judges every lookup; call it once engines are quiet."""
        by_key: dict[str, int] = {}
        for fact in self._lookups.values():
            began = self._began.get(fact.request_id, 0)
            if fact.outcome is Outcome.NOT_RUN and began:
                self._broken(f"lookup {fact.request_id} was said not to be run, but was")
            if not fact.repeatable:
                name = fact.key or fact.request_id
                by_key[name] = by_key.get(name, 0) + began
        for name, began in by_key.items():
            if began > 1:
                self._broken(f"non-repeatable request {name} ran {began} times")

    # Configuration: in force everywhere, never back.

    def in_force(self, revision: int) -> None:
        """A leader declared a revision to be in force in every zone."""
        self._highest_in_force = max(self._highest_in_force, revision)

    def node_acts_on(self, node_id: str, revision: int, lease_valid: bool) -> None:
        """A node would act on a revision now."""
        if lease_valid and revision < self._highest_in_force:
            self._broken(
                f"{node_id} acts on revision {revision} under a lease, "
                f"though {self._highest_in_force} was in force"
            )
        if revision and revision < self._adopted.get(node_id, 0):
            self._broken(
                f"{node_id} went back from revision {self._adopted[node_id]} to {revision}"
            )
        self._adopted[node_id] = max(self._adopted.get(node_id, 0), revision)

    # Samples: judged by the trainer's own audit.

    def trainer_saw(
        self, over_age: int, duplicated: int, wrong_tokens: int, wrong_versions: int
    ) -> None:
        """Totals of the trainer's audit so far."""
        totals = {
            "samples were older than the bound": over_age,
            "samples were delivered twice": duplicated,
            "samples had wrong or missing tokens": wrong_tokens,
            "samples named wrong versions": wrong_versions,
        }
        for text, count in totals.items():
            if count and not any(text in known for known in self.violations):
                self._broken(f"{count} {text}")
