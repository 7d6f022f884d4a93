"""Ownership of samplers, their load reports, and the generations that run on them."""

from stileloom.samplers.owner import CommitSampleRequest, SamplerOwner

__all__ = ["CommitSampleRequest", "SamplerOwner"]
