"""Keeps requests away from samplers that end every sampler they run at.

Such a request is known by its identity: the same request comes again under other request ids,
at any gateway.
"""
