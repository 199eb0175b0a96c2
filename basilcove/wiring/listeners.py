"""Listeners of gateways and adapters on the event loop, with the account and the metrics of their process."""

from basilcove.daemon import Assembly
from basilcove.helpers.metrics import Metrics
from basilcove.http1.refusals import Refusals
from basilcove.http1.server import HttpServer, RequestHandler


def add_gauges(metrics: Metrics, listener: str, server: HttpServer) -> None:
    """Show the number of connections of a listener."""
    metrics.gauge(f'{listener}_connections', 'From callers.', lambda: len(server.connections))


def build_server(assembly: Assembly, listen: str, handler: RequestHandler) -> HttpServer:
    """Return the listener of an adapter, with the limits of its settings."""
    cfg = assembly.settings.adapter
    refusals = Refusals('adapter', assembly.metrics)
    server = HttpServer(listen, handler, assembly.account, refusals, cfg.receive if cfg is not None else None)
    add_gauges(assembly.metrics, 'adapter', server)
    return server
