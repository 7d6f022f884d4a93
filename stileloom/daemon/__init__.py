"""The daemon: sockets, signals, disk and clock around a node core."""
