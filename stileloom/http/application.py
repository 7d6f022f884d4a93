"""The paths of the HTTP interface."""

from __future__ import annotations

from tornado.web import Application

from stileloom.daemon.shell import Shell
from stileloom.http import lookups, objects, operations, rounds
from stileloom.http.base import NotFoundHandler
from stileloom.settings import NodeSettings


def make_application(shell: Shell, settings: NodeSettings) -> Application:
    """The interface of one node."""
    shared = {"shell": shell, "node_settings": settings}
    routes = [
        (r"/v1/completions", lookups.CompletionHandler, shared),
        (r"/v1/services/([^/]+)/lookup", lookups.LookupHandler, shared),
        (r"/v1/rounds/([^/]+)/prompts", rounds.PromptsHandler, shared),
        (r"/v1/rounds/([^/]+)/deliveries", rounds.DeliveriesHandler, shared),
        (r"/v1/rounds/([^/]+)/acknowledgements", rounds.AcknowledgementsHandler, shared),
        (r"/v1/rounds/([^/]+)/versions", rounds.VersionsHandler, shared),
        (r"/v1/objects", objects.ObjectsHandler, shared),
        (r"/v1/objects/([^/]+)/([^/]+)", objects.ObjectHandler, shared),
        (r"/v1/status", operations.StatusHandler, shared),
        (r"/v1/explain", operations.ExplainHandler, shared),
        (r"/v1/drain", operations.DrainHandler, shared),
        (r"/v1/samplers/([^/]+)/drain", operations.DrainHandler, shared),
        (r"/healthz", operations.HealthHandler, shared),
        (r"/readyz", operations.ReadyHandler, shared),
        (r"/metrics", operations.MetricsHandler, shared),
    ]
    return Application(
        routes,
        default_handler_class=NotFoundHandler,
        default_handler_args=shared,
        log_function=lambda handler: None,
    )
