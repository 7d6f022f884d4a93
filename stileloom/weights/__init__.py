"""Weight placement: fenced swaps and role shifts of samplers."""

from stileloom.weights.roles import PoolDemand, RoleShifter
from stileloom.weights.swap import SwapPlanner, SwapStyle, SwapTarget, holds

__all__ = ["PoolDemand", "RoleShifter", "SwapPlanner", "SwapStyle", "SwapTarget", "holds"]
