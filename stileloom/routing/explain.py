"""Builds routing explanations and the policy inputs of a lookup."""

from __future__ import annotations

import random

from stileloom.policy import PolicyRegistry, RequestInput, RuleInputs, RuleKind
from stileloom.routing.choice import Candidate, choose_sampler
from stileloom.routing.messages import CandidateView, Explanation, LookupRequest


def rule_inputs(request: LookupRequest) -> RuleInputs:
    """Returns the policy inputs for a lookup."""
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


def build_explanation(
    request: LookupRequest,
    pool: str,
    candidate_views: list[CandidateView],
    zone: str,
    policies: PolicyRegistry,
    inputs: RuleInputs,
    wall_time_s: float,
) -> Explanation:
    """Selects a sampler from the eligible candidates and lists the rules that applied."""
    candidates = [
        Candidate(candidate.sampler_id, candidate.zone, candidate.load)
        for candidate in candidate_views
        if candidate.eligible
    ]
    rule_results = [
        result
        for kind in (RuleKind.PRIORITY, RuleKind.PLACEMENT)
        for result in policies.rule_results(kind, inputs, wall_time_s)
    ]
    return Explanation(
        service=request.service,
        pool=pool,
        priority=policies.priority(inputs, wall_time_s),
        chosen=choose_sampler(candidates, zone, request.prefix_key, random.Random(0)),
        rules=[f"{result.policy}: {result.rule} = {result.value}" for result in rule_results],
        candidates=candidate_views,
    )
