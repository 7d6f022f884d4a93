"""HTTP for callers, trainers and operators."""
