"""Server processes: the sockets, signals, disk and clocks around the core logic."""
