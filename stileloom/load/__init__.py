"""What a process knows about the load of samplers."""

from stileloom.load.readings import LoadReading, decode_load
from stileloom.load.view import LoadEstimate, LoadView

__all__ = ["LoadEstimate", "LoadReading", "LoadView", "decode_load"]
