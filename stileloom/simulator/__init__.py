"""Virtual time: the same node cores and engine models, driven by one event queue."""
