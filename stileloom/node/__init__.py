"""Node core: the components of one node, driven by the daemon or the simulator."""

from stileloom.node.core import DeliveryFinished, NodeCore, StatusFinished

__all__ = ["DeliveryFinished", "NodeCore", "StatusFinished"]
