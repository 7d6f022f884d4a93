"""Communication between nodes."""

from stileloom.transport.network import Network, TrafficCount

__all__ = ["Network", "TrafficCount"]
