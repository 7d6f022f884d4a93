"""Generates prompts with heavy-tailed lengths, in groups of similar length."""

from __future__ import annotations

import math
import random

import msgspec


class LengthDistribution(msgspec.Struct, frozen=True):
    """Log-normal lengths around the median of a group, with a share of much longer prompts."""

    median_tokens: int
    sigma: float
    long_fraction: float
    """Share of prompts with a median of `long_factor * median_tokens`."""
    long_factor: int
    max_tokens: int
    groups: int
    """Group medians range from half to twice the median; the last group has the long prompts."""


class GeneratedPrompt(msgspec.Struct, frozen=True):
    """A prompt and the length that emulated engines generate for it."""

    prompt_id: str
    text: str
    group: str
    length: int
    max_tokens: int


def generate_prompt(
    rng: random.Random, name: str, number: int, lengths: LengthDistribution
) -> GeneratedPrompt:
    """Generates a random prompt."""
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
