"""Dials the control hosts of the current group, if settings give them by their addresses."""

from dataclasses import dataclass, field

from basilcove.core.events import Effect, Tick
from basilcove.core.ids import NodeId
from basilcove.core.reducer import Context, handles
from basilcove.core.runtime import carries_out
from basilcove.distribution.models import DistributionState
from basilcove.rpc.dialer import Dialer


@dataclass(frozen=True, slots=True)
class DialPeers(Effect):
    """Keeps links to these addresses, besides those of the settings."""

    addresses: frozenset[str]


@dataclass
class PeerAddresses:
    """Control hosts to dial; their node ids are their IP addresses."""

    node: NodeId
    port: int
    dialed: frozenset[NodeId] = field(default_factory=frozenset)


@handles(Tick, PeerAddresses)
def _on_tick(state: PeerAddresses, event: Tick, ctx: Context) -> list[Effect]:
    voters = ctx.node.part(DistributionState).control_nodes - {state.node}
    if voters == state.dialed:
        return []
    state.dialed = voters
    return [DialPeers(frozenset(f'{node}:{state.port}' for node in voters))]


@carries_out(DialPeers, Dialer)
def _dial(dialer: Dialer, effect: DialPeers) -> None:
    dialer.set_extra_addresses(effect.addresses)
