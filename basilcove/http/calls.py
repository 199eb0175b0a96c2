"""Builds callers' requests from WSGI environments."""

from typing import Any, Final

from basilcove.core.ids import TeamName
from basilcove.environment.keys import find_team
from basilcove.environment.models import Environment
from basilcove.http.bodies import read_body
from basilcove.http.parsing import HttpCall, parse_call
from basilcove.requests.events import Refusal, Request

_BEARER: Final = 'Bearer '


def build_request(call: HttpCall, environment: Environment) -> Request | Refusal:
    """Return the request of a call, or its refusal."""
    return parse_call(call, environment, _find_team(call, environment))


def read_call(environ: dict[str, Any]) -> HttpCall | Refusal:
    """Return the call of a WSGI request, or the refusal of its body."""
    body = read_body(environ)
    if isinstance(body, Refusal):
        return body
    headers = {
        name.removeprefix('HTTP_').replace('_', '-').lower(): text
        for name, text in environ.items()
        if name.startswith('HTTP_')
    }
    if environ.get('CONTENT_TYPE'):
        headers['content-type'] = environ['CONTENT_TYPE']
    path = environ.get('REQUEST_URI', environ['PATH_INFO']).partition('?')[0]
    return HttpCall(
        method=environ['REQUEST_METHOD'],
        path=path,
        query=environ.get('QUERY_STRING', ''),
        headers=headers,
        body=body,
    )


def _find_team(call: HttpCall, environment: Environment) -> TeamName | None:
    authorization = call.headers.get('authorization', '')
    if not authorization.startswith(_BEARER):
        return None
    return find_team(environment, authorization.removeprefix(_BEARER).strip())
