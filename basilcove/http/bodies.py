"""Bodies of requests, as the servers received them."""

from typing import Any

from basilcove.http.receiving import ReceivedBody
from basilcove.requests.events import Refusal


def read_body(environ: dict[str, Any]) -> bytes | Refusal:
    """Return the body of a WSGI request, or the refusal of one that is malformed, cut off or too large."""
    body: ReceivedBody = environ['wsgi.input']
    return bytes(body.content) if body.fault is None else body.fault
