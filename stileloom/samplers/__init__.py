"""Samplers: who owns which, their load, and the generations that run on them."""

from stileloom.samplers.owner import CommitWanted, SamplerOwner

__all__ = ["CommitWanted", "SamplerOwner"]
