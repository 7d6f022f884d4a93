"""A randomized soak: real gateways and ledger nodes as processes, faults injected from outside."""
