"""HTTP API for clients, trainers and operators."""
