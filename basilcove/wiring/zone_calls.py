"""Answers operators' calls on evacuated availability zones."""

from dataclasses import replace

from basilcove.catalog.commands import EvacuateZone, ReadEvacuations, RestoreZone
from basilcove.catalog.events import Propose, Query, QueryAnswered
from basilcove.catalog.outcomes import EvacuationsRead
from basilcove.cli.messages import ZoneReply, ZoneRequest, ZonesReply, ZonesRequest
from basilcove.core.events import Effect, Emit
from basilcove.core.reducer import Context, handles
from basilcove.rpc.events import CallId
from basilcove.wiring.const import OPERATOR_TIMEOUT_S
from basilcove.wiring.operators import OperatorsState, ZoneChange, handles_call


@handles_call(ZoneRequest, change_reply=ZoneReply)
def _change_zone(state: OperatorsState, call_id: CallId, req: ZoneRequest, ctx: Context) -> list[Effect]:
    change = EvacuateZone if req.evacuate else RestoreZone
    command = change(req.zone, req.requester, req.request_id)
    name = f'zone/{req.request_id}/{call_id}'
    deadline = ctx.now + OPERATOR_TIMEOUT_S
    state.wait(name, call_id, ZoneReply)
    state.zone_changes[name] = ZoneChange(command, deadline)
    return [Emit(Query(name, ReadEvacuations(), deadline))]


@handles_call(ZonesRequest)
def _list_zones(state: OperatorsState, call_id: CallId, req: ZonesRequest, ctx: Context) -> list[Effect]:
    name = f'zones/{call_id}'
    state.wait(name, call_id, ZonesReply)
    return [Emit(Query(name, ReadEvacuations(), ctx.now + OPERATOR_TIMEOUT_S))]


@handles(QueryAnswered, OperatorsState)
def on_zones_read(state: OperatorsState, event: QueryAnswered, ctx: Context) -> list[Effect]:
    """Answer a read of the evacuated zones, or propose the change of this version of them."""
    answer = event.answer
    if not isinstance(answer, EvacuationsRead):
        return []
    change = state.zone_changes.pop(event.query_id, None)
    if change is not None:
        command = replace(change.command, seen_version=answer.evacuations.version)
        return [Emit(Propose(event.query_id, command, change.deadline))]
    shown = ZonesReply(accepted=True, evacuations=answer.evacuations)
    return state.answer(event.query_id, lambda _: shown)
