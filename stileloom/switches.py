"""Mechanisms that can be switched off, to measure what each is worth (`tests/ablation.py`).

All are on. They change how well the system decides, never what it promises.
"""

from __future__ import annotations

import msgspec


class Switches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One switch for each mechanism."""

    # Gateways.
    hedging: bool = True
    """A second attempt of a lookup starts before the first has failed."""
    kept_results: bool = True
    """A gateway keeps the results that it has read."""

    # Between nodes.
    compressed_frames: bool = True
    """Frames between nodes are compressed."""
    store_cache: bool = True
    """Nodes follow the store through one ledger node's cache."""

    # Items.
    moves: bool = True
    """Runs leave a sampler that is much slower than another."""
    fastest_first: bool = True
    """Items go to the fastest sampler whatever its load; else to the one with the best product
    of pace and load."""
    group_bonus: bool = True
    """Items of a group are drawn to a sampler that has read their prompt."""
    kept_texts: bool = True
    """A carried item goes on from the text that an earlier job made."""
    saved_events: bool = True
    """Events of long items are saved while they run."""
    recorded_paces: bool = True
    """A new leader begins with the paces of samplers that an earlier one measured."""

    # Weight versions.
    sampler_shares: bool = True
    """Where several models are trained each sampler serves one."""
    parallel_loads: bool = True
    """A share of the samplers loads at the same time; else one."""
    evacuation: bool = True
    """Runs are taken to other samplers before their own loads."""
    order_windows: bool = True
    """A new leader's orders wait from the last order window; else from its election."""

    # Ledger.
    standbys: bool = True
    """Replicas that the voter set does not need hold no copy of the log."""
    restart_head_start: bool = True
    """After a restart of all the node that led last is elected at once."""


ALL_ON = Switches()
