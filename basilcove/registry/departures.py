"""Makes sure that a departure which a control host acknowledges outlasts the loss of that host."""

from basilcove.core.events import Effect, Received, Send
from basilcove.core.ids import NodeId
from basilcove.core.reducer import Context, handles_message
from basilcove.registry.events import ConfirmDeparture
from basilcove.registry.messages import Departure, DeparturesStored, Registrations, RegistrationState
from basilcove.registry.models import RegistryState


def confirm_known(state: RegistryState, departure: Departure) -> list[Effect]:
    """Confirm a departure once most of the linked control hosts, this one included, know of it."""
    unconfirmed = state.unconfirmed.get(departure)
    if unconfirmed is None or len(unconfirmed.hosts) < (len(state.hosts) + 1) // 2:
        return []
    del state.unconfirmed[departure]
    return [ConfirmDeparture(departure)]


def confirm_stored(sender: NodeId, msg: Registrations) -> list[Effect]:
    """Tell a control host which departures this one has now stored."""
    departures = tuple(
        registration.departure
        for registration in msg.registrations
        if registration.standing is RegistrationState.GONE
    )
    return [Send(sender, DeparturesStored(departures))] if departures else []


@handles_message(DeparturesStored, RegistryState)
def _on_stored(state: RegistryState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    assert isinstance(msg, DeparturesStored)
    effects: list[Effect] = []
    for departure in msg.departures:
        unconfirmed = state.unconfirmed.get(departure)
        if unconfirmed is None:
            continue
        unconfirmed.hosts.add(event.peer.node)
        effects.extend(confirm_known(state, departure))
    return effects
