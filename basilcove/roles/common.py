"""States and drivers that every node has."""

import importlib

from basilcove.catalog.client import ClientState
from basilcove.core.pauses import PauseState
from basilcove.daemon import Assembly
from basilcove.distribution import coordinator as _distribution  # noqa: F401
from basilcove.distribution.config import DistributionConfig
from basilcove.distribution.models import DistributionState
from basilcove.http.status import StatusServer
from basilcove.membership import coordinator as _membership  # noqa: F401
from basilcove.membership import draining as _draining  # noqa: F401
from basilcove.membership.models import MembershipState
from basilcove.rpc import driver as _rpc  # noqa: F401
from basilcove.wiring import zone_calls as _zone_calls  # noqa: F401
from basilcove.wiring.confirmation import Confirmation
from basilcove.wiring.operators import OperatorsState
from basilcove.wiring.peers import PeerAddresses


def add_common(assembly: Assembly) -> None:
    """Add the states and drivers that every node has, unless an earlier role added them."""
    node = assembly.runtime.node
    if node.has(DistributionState):
        return
    settings = assembly.settings
    cfg = DistributionConfig(
        environment=settings.environment,
        stage=settings.stage,
        control_nodes=settings.control_nodes,
        deltas=settings.documents.deltas,
        min_interval_s=settings.documents.min_interval_s,
    )
    documents = DistributionState.from_config(cfg, settings.node, settings.zone, settings.roles)
    if settings.documents.upgrade_module:
        documents.upgrade = importlib.import_module(settings.documents.upgrade_module).upgrade_document
    node.add(documents)
    node.add(ClientState(settings.node))
    node.add(Confirmation(settings.node, assembly.identity.incarnation))
    node.add(MembershipState(settings.node, assembly.identity.incarnation))
    if settings.addresses is not None:
        node.add(PeerAddresses(settings.node, settings.addresses.port))
    node.add(PauseState())
    node.add(OperatorsState(assembly.identity, settings.environment, settings.stage))
    assembly.metrics.gauge('document_revision', 'Revision in effect.', lambda: documents.own.revision)
    assembly.metrics.gauge(
        'evacuations_version', 'Version of the evacuated zones.', lambda: documents.evacuations.version
    )
    assembly.readiness.append(lambda: None if documents.ready else 'no current document is known')
    if settings.status is not None:
        server = StatusServer.from_config(settings.status, assembly.metrics, assembly.account)
        assembly.setups.append(lambda: server.setup(assembly.not_ready))
        assembly.unloads.append(server.unload)
