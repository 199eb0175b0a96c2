"""HTTP server of an agent, on which the upstream of its host announces itself."""

import json
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, Self

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from basilcove.core.events import Event
from basilcove.core.ids import Incarnation, ModelName, ServiceName, UpstreamName
from basilcove.helpers.metrics import Metrics
from basilcove.http.bodies import read_body
from basilcove.http.config import AnnounceConfig
from basilcove.http.connections import Server, start_server
from basilcove.http.const import MAX_ANNOUNCEMENT_BYTES, SPARE_THREADS
from basilcove.http.limits import ListenerLimits
from basilcove.http.replies import StartResponse, refuse, reply_json
from basilcove.http.status import NotReady, StatusPages
from basilcove.http1.account import ReceiveAccount
from basilcove.http1.refusals import Refusals
from basilcove.membership.events import UpstreamAnnounced, UpstreamDeparted
from basilcove.requests.events import Refusal


class Announcement(BaseModel):
    """Body of ``PUT`` and ``DELETE /announce``; ``incarnation`` grows with each start of the upstream."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    name: UpstreamName
    url: str = Field(pattern='^http://')
    credential: str
    models: tuple[ModelName, ...] = ()
    services: tuple[ServiceName, ...] = ()
    incarnation: Incarnation

    def to_event(self) -> UpstreamAnnounced:
        """Return the event for the reducer."""
        return UpstreamAnnounced(
            name=self.name,
            url=self.url.rstrip('/'),
            credential=self.credential,
            models=self.models,
            services=self.services,
            incarnation=self.incarnation,
        )


class AnnouncementServer:
    """Accepts announcements; also serves health, readiness and metrics of the agent."""

    def __init__(self, cfg: AnnounceConfig, metrics: Metrics, account: ReceiveAccount) -> None:
        """Store the settings; ``setup`` binds the address."""
        self._cfg = cfg
        self._metrics = metrics
        self._account = account
        self._pages = StatusPages(metrics)
        self._post: Callable[[Event], object] | None = None
        self._server: Server | None = None

    @classmethod
    def from_config(cls, cfg: AnnounceConfig, metrics: Metrics, account: ReceiveAccount) -> Self:
        """Build the server of an agent; requests are charged to ``account``."""
        return cls(cfg, metrics, account)

    def setup(self, post: Callable[[Event], object], not_ready: NotReady) -> None:
        """Bind and serve; ``post`` passes events to the reducer."""
        self._post = post
        self._pages.setup(not_ready)
        cfg = self._cfg
        limits = ListenerLimits(
            MAX_ANNOUNCEMENT_BYTES, cfg.max_connections, receive_timeout_s=cfg.receive_timeout_s
        )
        refusals = Refusals('agent', self._metrics)
        self._server = start_server(
            cfg.listen, self._serve, SPARE_THREADS, cfg.build_limits(limits), self._account, refusals
        )

    def unload(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.stop()

    def _serve(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        page = self._pages.answer(path, start_response)
        if page is not None:
            return page
        if path == '/announce':
            return self._announce(environ, start_response)
        return reply_json(start_response, HTTPStatus.NOT_FOUND, {'detail': f'no such path: {path}'})

    def _announce(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        body = read_body(environ)
        if isinstance(body, Refusal):
            return refuse(start_response, body)
        try:
            announcement = Announcement.model_validate_json(body)
        except ValidationError as exc:
            return reply_json(start_response, HTTPStatus.BAD_REQUEST, json.loads(exc.json(include_url=False)))
        event: Event | None = None
        if environ['REQUEST_METHOD'] == 'PUT':
            event = announcement.to_event()
        if environ['REQUEST_METHOD'] == 'DELETE':
            event = UpstreamDeparted(announcement.to_event())
        if event is None or self._post is None:
            return reply_json(
                start_response, HTTPStatus.METHOD_NOT_ALLOWED, {'detail': '/announce takes PUT and DELETE'}
            )
        self._post(event)
        return reply_json(start_response, HTTPStatus.ACCEPTED, {})
