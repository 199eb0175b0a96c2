"""Listeners of gateways and adapters on the event loop, with the account and the metrics of their process."""

from basilcove.daemon import Assembly
from basilcove.http1.refusals import Refusals
from basilcove.http1.server import HttpServer, RequestHandler


def add_listener(assembly: Assembly, name: str, server: HttpServer) -> None:
    """Show the connections of a listener, and let a planned stop wait until callers have read its answers."""
    assembly.metrics.gauge(f'{name}_connections', 'From callers.', lambda: len(server.connections))
    assembly.idle_checks.append(lambda: not server.has_unsent())


def build_server(assembly: Assembly, listen: str, handler: RequestHandler) -> HttpServer:
    """Return the listener of an adapter, with the limits of its settings."""
    cfg = assembly.settings.adapter
    refusals = Refusals('adapter', assembly.metrics)
    server = HttpServer(listen, handler, assembly.account, refusals, cfg.receive if cfg is not None else None)
    add_listener(assembly, 'adapter', server)
    return server
