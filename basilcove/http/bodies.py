"""What the servers pass to applications with a WSGI request."""

from collections.abc import Callable
from typing import Any, Final

from basilcove.http.receiving import ReceivedBody
from basilcove.requests.events import Refusal

ABORT_KEY: Final = 'basilcove.abort'


def find_abort(environ: dict[str, Any]) -> Callable[[], None]:
    """Return the function that aborts the connection of a WSGI request; any thread may call it."""
    abort: Callable[[], None] = environ[ABORT_KEY]
    return abort


def read_body(environ: dict[str, Any]) -> bytes | Refusal:
    """Return the body of a WSGI request, or the refusal of one that is malformed, cut off or too large."""
    body: ReceivedBody = environ['wsgi.input']
    return bytes(body.content) if body.fault is None else body.fault
