"""URL routes of the HTTP API."""

from __future__ import annotations

from tornado.web import Application

from stileloom.daemon.shell import Shell
from stileloom.http import lookups, objects, operations, rounds
from stileloom.http.base import NotFoundHandler
from stileloom.settings import NodeSettings


def make_application(shell: Shell, settings: NodeSettings) -> Application:
    """Creates the HTTP application of a node."""
    handler_arguments = {"shell": shell, "node_settings": settings}
    routes = [
        (r"/v1/completions", lookups.CompletionHandler, handler_arguments),
        (r"/v1/services/([^/]+)/lookup", lookups.LookupHandler, handler_arguments),
        (r"/v1/rounds/([^/]+)/prompts", rounds.PromptsHandler, handler_arguments),
        (r"/v1/rounds/([^/]+)/deliveries", rounds.DeliveriesHandler, handler_arguments),
        (r"/v1/rounds/([^/]+)/acknowledgements", rounds.AcknowledgementsHandler, handler_arguments),
        (r"/v1/rounds/([^/]+)/versions", rounds.VersionsHandler, handler_arguments),
        (r"/v1/objects", objects.ObjectsHandler, handler_arguments),
        (r"/v1/objects/([^/]+)/([^/]+)", objects.ObjectHandler, handler_arguments),
        (r"/v1/status", operations.StatusHandler, handler_arguments),
        (r"/v1/explain", operations.ExplainHandler, handler_arguments),
        (r"/v1/drain", operations.DrainHandler, handler_arguments),
        (r"/v1/samplers/([^/]+)/drain", operations.DrainHandler, handler_arguments),
        (r"/healthz", operations.HealthHandler, handler_arguments),
        (r"/readyz", operations.ReadyHandler, handler_arguments),
        (r"/metrics", operations.MetricsHandler, handler_arguments),
    ]
    return Application(
        routes,
        default_handler_class=NotFoundHandler,
        default_handler_args=handler_arguments,
        log_function=lambda handler: None,
    )
