"""Prompts of the stand-in trainers: heavy-tailed lengths, in groups of like length."""

from __future__ import annotations

import math
import random

import msgspec


class LengthDistribution(msgspec.Struct, frozen=True):
    """Log-normal lengths around the median of a group, and a few that are far longer."""

    median_tokens: int
    sigma: float
    long_fraction: float
    """Share of prompts whose length is `long_factor` medians."""
    long_factor: int
    max_tokens: int
    groups: int
    """Groups have medians spread from half to twice the median; the last holds the long ones."""


class GeneratedPrompt(msgspec.Struct, frozen=True):
    """A prompt and what the stand-in engines will make of it."""

    prompt_id: str
    text: str
    group: str
    length: int
    max_tokens: int


def generate_prompt(
    rng: random.Random, name: str, number: int, lengths: LengthDistribution
) -> GeneratedPrompt:
    """Draws one prompt."""
    if rng.random() < lengths.long_fraction:
        group = lengths.groups - 1
        median = float(lengths.median_tokens * lengths.long_factor)
        sigma = 0.1
    else:
        group = rng.randrange(max(1, lengths.groups - 1))
        spread = group / max(1, lengths.groups - 2) if lengths.groups > 2 else 0.5
        median = lengths.median_tokens * 2 ** (2 * spread - 1)
        sigma = lengths.sigma
    length = round(median * math.exp(rng.gauss(0.0, sigma)))
    length = max(1, min(lengths.max_tokens, length))
    prompt_id = f"{name}-{number}"
    text = f"len:{length}|{prompt_id}"
    return GeneratedPrompt(prompt_id, text, f"group-{group}", length, lengths.max_tokens)
