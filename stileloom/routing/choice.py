"""Choice of a sampler: own zone first, prefix affinity with bounded load, else two choices.

Sources: Mirrokni, Thorup, Zadimoghaddam, "Consistent Hashing with Bounded Loads" (2016),
over rendezvous hashing; Mitzenmacher, "The Power of Two Choices" (2001). The load of a
sampler is the larger of its last report, which lags, and what this gateway has under way.
"""

from __future__ import annotations

import random

import msgspec

from stileloom.hashing import rendezvous_ranked

LOAD_BOUND_FACTOR = 1.25


class Candidate(msgspec.Struct, frozen=True):
    """A sampler that may take the request."""

    sampler_id: str
    zone: str
    load: int
    """Requests known to be on it."""


def choose_sampler(
    candidates: list[Candidate], zone: str, prefix_key: str, rng: random.Random
) -> str | None:
    """The sampler for a request, or None where there is none."""
    if not candidates:
        return None
    near = [candidate for candidate in candidates if candidate.zone == zone]
    pool = near or candidates
    if prefix_key:
        return _by_affinity(pool, prefix_key)
    return _by_two_choices(pool, rng)


def _by_affinity(pool: list[Candidate], prefix_key: str) -> str:
    average = sum(candidate.load for candidate in pool) / len(pool)
    bound = LOAD_BOUND_FACTOR * average + 1
    loads = {candidate.sampler_id: candidate.load for candidate in pool}
    ranked = rendezvous_ranked(prefix_key, loads)
    return next((sampler for sampler in ranked if loads[sampler] <= bound), ranked[0])


def _by_two_choices(pool: list[Candidate], rng: random.Random) -> str:
    drawn = rng.sample(pool, min(2, len(pool)))
    return min(drawn, key=lambda candidate: (candidate.load, candidate.sampler_id)).sampler_id
