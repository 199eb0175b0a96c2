"""Assembles an entry, which passes requests of callers to agents."""

from basilcove.core.events import Message, Peer
from basilcove.core.ids import Role
from basilcove.daemon import Assembly, builds
from basilcove.http import driver as _http  # noqa: F401
from basilcove.http.answers import AnswerTable, Body
from basilcove.http.callers import CallerServer
from basilcove.membership.models import MembershipState
from basilcove.requests import coordinator as _requests  # noqa: F401
from basilcove.requests.config import RequestsConfig
from basilcove.requests.messages import AnswerChunk
from basilcove.requests.models import RequestsState
from basilcove.roles.common import add_common
from basilcove.wiring import callers as _callers  # noqa: F401
from basilcove.wiring import upstreams as _upstreams  # noqa: F401
from basilcove.wiring.claims import ClaimBridge, ClaimsState
from basilcove.wiring.evidence import EvidenceState, build_observer


@builds(Role.ENTRY)
def build_entry(assembly: Assembly) -> None:
    """Add the states and drivers that pass requests of callers to agents."""
    cfg = assembly.settings.http
    assert cfg is not None
    add_common(assembly)
    settings, identity, runtime = assembly.settings, assembly.identity, assembly.runtime
    requests_cfg = RequestsConfig(stop_timeout_s=settings.stop_timeout_s)
    requests = RequestsState.from_config(requests_cfg, identity.node, identity.incarnation, identity.zone)
    runtime.node.add(requests)
    runtime.node.add(ClaimsState(identity.node, settings.environment))
    runtime.node.add(EvidenceState(settings.environment, settings.stage))
    answers = AnswerTable(assembly.account, build_observer(runtime.apply))
    server = CallerServer.from_config(cfg, answers, assembly.metrics, assembly.tracing, assembly.account)
    for driver in (answers, server, ClaimBridge(runtime.apply)):
        runtime.add_driver(driver)

    def deliver(peer: Peer, msg: Message) -> None:
        delivery = requests.assemblies.accept(peer, msg) if isinstance(msg, AnswerChunk) else None
        if delivery is not None:
            answers.put(delivery.request_id, Body(delivery.body))

    assembly.links.deliver_directly(AnswerChunk, deliver)
    membership = runtime.node.part(MembershipState)
    assembly.metrics.gauge('upstreams', 'Upstreams known.', lambda: len(membership.upstreams))
    assembly.metrics.gauge('requests_open', 'Requests not ended.', lambda: len(requests.requests))
    assembly.readiness.append(lambda: None if requests.is_ready else 'no document is in effect or stopping')
    assembly.idle_checks.append(lambda: not (server.open_answers or server.has_unsent()))
    assembly.setups.append(lambda: server.setup(runtime.post, assembly.not_ready))
    assembly.unloads.append(server.unload)
