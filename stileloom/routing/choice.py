"""Sampler selection: prefers the local zone, then prefix affinity or power of two choices.

Prefix affinity uses rendezvous hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam,
"Consistent Hashing with Bounded Loads", 2016). Requests without a prefix key use two random
choices (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
"""

from __future__ import annotations

import random

import msgspec

from stileloom.hashing import rendezvous_ranked

LOAD_BOUND_FACTOR = 1.25


class Candidate(msgspec.Struct, frozen=True):
    """A sampler eligible for the request."""

    sampler_id: str
    zone: str
    load: int
    """Running requests: the larger of the last reported count and this gateway's own count."""


def choose_sampler(
    candidates: list[Candidate], zone: str, prefix_key: str, rng: random.Random
) -> str | None:
    """Selects the sampler for a request, or None if there are no candidates."""
    if not candidates:
        return None
    same_zone = [candidate for candidate in candidates if candidate.zone == zone]
    eligible = same_zone or candidates
    if prefix_key:
        return _by_affinity(eligible, prefix_key)
    return _by_two_choices(eligible, rng)


def _by_affinity(candidates: list[Candidate], prefix_key: str) -> str:
    mean_load = sum(candidate.load for candidate in candidates) / len(candidates)
    bound = LOAD_BOUND_FACTOR * mean_load + 1
    loads = {candidate.sampler_id: candidate.load for candidate in candidates}
    ranked = rendezvous_ranked(prefix_key, loads)
    return next((sampler for sampler in ranked if loads[sampler] <= bound), ranked[0])


def _by_two_choices(candidates: list[Candidate], rng: random.Random) -> str:
    sampled = rng.sample(candidates, min(2, len(candidates)))
    return min(sampled, key=lambda candidate: (candidate.load, candidate.sampler_id)).sampler_id
