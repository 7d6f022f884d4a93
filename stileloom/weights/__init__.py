"""Weights: which version runs where, fenced swaps, and what a sampler works for."""

from stileloom.weights.roles import PoolDemand, RoleShifter
from stileloom.weights.swap import SwapPlanner, SwapStyle, SwapTarget, holds

__all__ = ["PoolDemand", "RoleShifter", "SwapPlanner", "SwapStyle", "SwapTarget", "holds"]
