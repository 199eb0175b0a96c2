"""Listeners of adapters, and metrics of listeners: what they refuse and what they hold."""

from basilcove.daemon import Assembly
from basilcove.helpers.metrics import Metrics
from basilcove.http1.refusals import Refusal
from basilcove.http1.server import HttpServer, RequestHandler


def count_refusals(metrics: Metrics, listener: str, server: HttpServer) -> None:
    """Count the refusals of a listener by kind, and show its connections and their bytes."""

    def count(kind: Refusal) -> None:
        metrics.count('refused_requests', (('listener', listener), ('kind', kind.value)), 1)

    server.count_refusals(count)
    metrics.gauge(f'{listener}_connections', 'From callers.', lambda: len(server.connections))
    metrics.gauge(f'{listener}_received_bytes', 'Charged to connections.', lambda: server.account.used_bytes)


def build_server(assembly: Assembly, listen: str, handler: RequestHandler) -> HttpServer:
    """Return the listener of an adapter, with the limits of its settings."""
    cfg = assembly.settings.adapter
    server = HttpServer(listen, handler, cfg.receive if cfg is not None else None)
    count_refusals(assembly.metrics, 'adapter', server)
    return server
