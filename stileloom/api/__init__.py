"""Contracts: the shapes that callers, trainers, operators and back ends see."""
