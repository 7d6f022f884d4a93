"""How many samplers of a service are ordered in each zone. Performs no I/O."""
