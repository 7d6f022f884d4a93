"""Ownership of samplers, their load reports, and the generations that run on them."""

from stileloom.samplers.owner import CommitWanted, SamplerOwner

__all__ = ["CommitWanted", "SamplerOwner"]
