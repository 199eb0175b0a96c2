"""Headers of requests: those that a gateway reads, and those that it sets for the upstream."""

import math

from loguru import logger

from basilcove.const import MILLISECONDS_PER_S
from basilcove.gateway.config import GatewayConfig
from basilcove.gateway.events import RequestHead, StartAttempt
from basilcove.gateway.prompts import digest_request, parse_shared_parts
from basilcove.http1.headers import HttpRequest, encode_request, remove_hop_by_hop
from basilcove.memory.usage import count_tokens


class GatewayHeaders:
    """Reads the headers that a decision needs, and replaces those that a gateway sets."""

    def __init__(self, cfg: GatewayConfig) -> None:
        """Use the names of headers in the settings."""
        names = cfg.headers
        self._scheme = f'{cfg.key_scheme} '.lower()
        self._request_id = names.request_id.lower().encode()
        self._timeout_ms = names.timeout_ms.lower().encode()
        self._prompt_parts = names.prompt_parts.lower().encode()
        self._token_usage = names.token_usage.lower().encode()
        self._names = names
        self._replaced_names = frozenset(
            name.lower().encode()
            for name in (names.timeout_ms, names.expected_instance, names.team, names.priority)
        )

    def read(self, request: HttpRequest) -> RequestHead:
        """Return the parts of a request on which the gateway decides."""
        credential = request.header(b'authorization')
        prompt = request.header(self._prompt_parts)
        has_scheme = credential.lower().startswith(self._scheme)
        return RequestHead(
            request.header(self._request_id),
            request.header(b'host').partition(':')[0],
            request.path,
            credential[len(self._scheme) :].strip() if has_scheme else '',
            _parse_timeout_s(request.header(self._timeout_ms)),
            parse_shared_parts(prompt),
            digest_request(prompt, request.target, request.body),
            count_tokens(request.header(self._token_usage), len(request.body)),
        )

    def build_request(self, request: HttpRequest, start: StartAttempt) -> bytes:
        """Return the bytes of the request for the upstream, without the caller's key."""
        dropped = {*self._replaced_names, b'authorization', b'expect'}
        if start.last_event:
            dropped.add(b'last-event-id')
        headers = remove_hop_by_hop(request.headers, dropped)
        timeout_ms = max(1, math.floor(start.timeout_s * MILLISECONDS_PER_S))
        headers.append((self._names.timeout_ms.encode(), b'%d' % timeout_ms))
        headers.append((self._names.expected_instance.encode(), start.instance.encode()))
        headers.append((self._names.priority.encode(), b'%d' % start.urgency))
        if start.team:
            headers.append((self._names.team.encode(), start.team.encode()))
        if start.last_event:
            headers.append((b'Last-Event-Id', start.last_event.encode()))
        return encode_request(request.method, request.target, headers, request.body)


def _parse_timeout_s(text: str) -> float | None:
    try:
        duration_s = float(text) / MILLISECONDS_PER_S
    except ValueError:
        if text:
            logger.warning('the timeout header of a request is not a number')
        return None
    return duration_s if math.isfinite(duration_s) and duration_s >= 0 else None
