"""Why a lookup would go where, and what policies see of it."""

from __future__ import annotations

import random

from stileloom.policy import PolicyBook, RequestInput, RuleInputs, RuleKind
from stileloom.routing.choice import Candidate, choose_sampler
from stileloom.routing.messages import CandidateView, Explanation, LookupRequest


def rule_inputs(request: LookupRequest) -> RuleInputs:
    """What policies see of a lookup."""
    return RuleInputs(
        request=RequestInput(
            target=request.service,
            kind="lookup",
            tenant=request.tenant,
            priority=request.priority,
            repeatable=request.repeatable,
            max_tokens=request.max_tokens,
        )
    )


def explanation(
    request: LookupRequest,
    pool: str,
    rows: list[CandidateView],
    zone: str,
    policies: PolicyBook,
    inputs: RuleInputs,
    wall_time_s: float,
) -> Explanation:
    """The explanation from what each sampler's check said."""
    candidates = [Candidate(row.sampler_id, row.zone, row.load) for row in rows if row.eligible]
    outcomes = [
        outcome
        for kind in (RuleKind.PRIORITY, RuleKind.PLACEMENT)
        for outcome in policies.outcomes(kind, inputs, wall_time_s)
    ]
    return Explanation(
        service=request.service,
        pool=pool,
        priority=policies.priority(inputs, wall_time_s),
        chosen=choose_sampler(candidates, zone, request.prefix_key, random.Random(0)),
        rules=[f"{outcome.policy}: {outcome.rule} = {outcome.value}" for outcome in outcomes],
        candidates=rows,
    )
