"""Stand-ins of the second review: store, samplers, callers and the platform's process control."""
