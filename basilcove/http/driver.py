"""Executes the effects that concern callers and upstreams."""

from basilcove.agents.events import CallUpstream, CancelCall
from basilcove.core.runtime import carries_out
from basilcove.http.answers import AnswerTable, Body, Broken, Complete, Head, Refused
from basilcove.http.upstreams import UpstreamClient
from basilcove.requests.events import BreakAnswer, EndAnswer, RefuseRequest, StartAnswer, WriteAnswer


@carries_out(StartAnswer, AnswerTable)
def start_answer(answers: AnswerTable, effect: StartAnswer) -> None:
    """Send status and headers to the caller."""
    answers.put(effect.request_id, Head(effect.status, effect.headers))


@carries_out(WriteAnswer, AnswerTable)
def write_answer(answers: AnswerTable, effect: WriteAnswer) -> None:
    """Send a part of the body to the caller."""
    answers.put(effect.request_id, Body(effect.body))


@carries_out(EndAnswer, AnswerTable)
def end_answer(answers: AnswerTable, effect: EndAnswer) -> None:
    """Complete the caller's answer."""
    answers.put(effect.request_id, Complete())


@carries_out(BreakAnswer, AnswerTable)
def break_answer(answers: AnswerTable, effect: BreakAnswer) -> None:
    """End an answer that can't be completed."""
    answers.put(effect.request_id, Broken(effect.reason))


@carries_out(RefuseRequest, AnswerTable)
def refuse_request(answers: AnswerTable, effect: RefuseRequest) -> None:
    """Refuse a request before its first byte."""
    answers.put(effect.request_id, Refused(effect.refusal))


@carries_out(CallUpstream, UpstreamClient)
def call_upstream(client: UpstreamClient, effect: CallUpstream) -> None:
    """Call the upstream of this host."""
    client.call(effect)


@carries_out(CancelCall, UpstreamClient)
def cancel_call(client: UpstreamClient, effect: CancelCall) -> None:
    """Cancel a call to the upstream."""
    client.cancel(effect.attempt_id)
