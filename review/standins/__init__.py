"""Stand-ins of the review's scripts: the platform's store, samplers, callers and processes."""
