"""Data types and interfaces shared with clients, trainers, operators and back ends."""
