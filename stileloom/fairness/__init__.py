"""Fair shares: divides the samplers of a service between tenants. Performs no I/O."""
