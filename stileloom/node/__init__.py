"""One node: all parts wired together, driven by the daemon or by the simulator."""

from stileloom.node.core import DeliveryFinished, NodeCore, StatusFinished

__all__ = ["DeliveryFinished", "NodeCore", "StatusFinished"]
