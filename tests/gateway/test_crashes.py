from dataclasses import replace
from http import HTTPStatus
from typing import Any

from basilcove.core.events import Effect, Received, Send
from basilcove.core.ids import NO_PART, PartId
from basilcove.gateway.events import (
    AnswerAdvanced,
    AnswerBegun,
    AttemptResult,
    CallerLeft,
    CheckUpstream,
    Refuse,
    RequestArrived,
    RequestHead,
    StartAttempt,
    UpstreamChecked,
)
from basilcove.quarantine.answers import WHOLE
from basilcove.quarantine.const import TRIAL_S
from basilcove.quarantine.messages import (
    CrashReport,
    LostRequest,
    QuarantinedPart,
    QuarantinedParts,
    SoundPart,
    SoundParts,
)
from basilcove.registry.messages import RegistrationState
from tests.gateway.world import CONTROL, HOST, KEY, World, only_start, registration, starts

PARTS = (PartId('first'), PartId('second'))
QUARANTINE_S = 30.0


class Callers:
    """Requests with prompts at a gateway with upstreams of its own zone."""

    def __init__(self, *upstreams: str) -> None:
        self.world = World(*upstreams)
        self._key = 1000

    def ask(self, *parts: PartId, path: str = '/brief/x', digest: PartId = NO_PART) -> list[Effect]:
        self._key += 1
        head = RequestHead(f'request-{self._key}', HOST, path, KEY, 5, parts, digest)
        return self.world.apply(RequestArrived(self._key, head))

    def lose(self, start: StartAttempt, status: int = 200) -> CheckUpstream:
        """Return the check that follows the loss of an answer."""
        return only(self.world.end(start, AttemptResult.LOST, status=status), CheckUpstream)

    def break_off(self, start: StartAttempt, reach_s: float) -> CheckUpstream:
        """Return the check that follows the loss of the rest of a stream."""
        effects = self.world.end(start, AttemptResult.BROKEN, status=200, last_event='7', reach_s=reach_s)
        assert not list(starts(effects))
        return only(effects, CheckUpstream)

    def sound(self, part: PartId) -> list[SoundPart]:
        """Return what the gateway knows of a part from answers."""
        return list(self.world.state.quarantine.sound_parts(part, self.world.now))

    def quarantine(self, part: PartId, version: int = 1, **changes: Any) -> list[Effect]:
        entry = replace(QuarantinedPart(part, version, QUARANTINE_S), **changes)
        return self.world.apply(Received(CONTROL, QuarantinedParts((entry,))))


def only(effects: list[Effect], kind: type) -> Any:
    found = [effect for effect in effects if isinstance(effect, kind)]
    assert len(found) == 1
    return found[0]


def messages(effects: list[Effect], kind: type) -> list[Any]:
    sends = [effect for effect in effects if isinstance(effect, Send)]
    return [send.message for send in sends if isinstance(send.message, kind)]


class TestReports:
    def test_request_whose_upstream_crashed_is_not_sent_on(self) -> None:
        """Guards against a request that crashes one upstream after the other within one attempt."""
        callers = Callers('up-1', 'up-2')
        check = callers.lose(only_start(callers.ask(*PARTS)))
        effects = callers.world.apply(UpstreamChecked(check, has_ended=True))
        assert not list(starts(effects))
        assert only(effects, Refuse).status == HTTPStatus.BAD_GATEWAY
        report = messages(effects, CrashReport)[0]
        assert (report.instance, report.request.parts) == (check.instance, PARTS)
        assert report.request.has_answer_head

    def test_request_that_waited_at_a_crashed_upstream_is_sent_on(self) -> None:
        """Guards against sound requests that fail with the one that crashed their upstream."""
        callers = Callers('up-1', 'up-2')
        check = callers.lose(only_start(callers.ask(*PARTS)), status=0)
        effects = callers.world.apply(UpstreamChecked(check, has_ended=True))
        assert only_start(effects).instance != check.instance
        assert not messages(effects, CrashReport)[0].request.has_answer_head

    def test_upstream_that_only_reset_the_connection(self) -> None:
        """Guards against a fault of one connection that is taken for a crash."""
        callers = Callers('up-1', 'up-2')
        check = callers.lose(only_start(callers.ask(*PARTS)))
        effects = callers.world.apply(UpstreamChecked(check, has_ended=False))
        assert only_start(effects).instance != check.instance
        assert not messages(effects, CrashReport)

    def test_planned_end_of_an_upstream(self) -> None:
        """Guards against a release whose last answers bring parts of prompts under suspicion."""
        callers = Callers('up-1', 'up-2')
        start = only_start(callers.ask(*PARTS))
        callers.world.register(registration(start.instance, 2, standing=RegistrationState.DRAINING))
        effects = callers.world.end(start, AttemptResult.LOST, status=200)
        assert CheckUpstream not in map(type, effects)
        assert only_start(effects).instance != start.instance

    def test_caller_that_leaves_during_the_check(self) -> None:
        """Guards against a crash that goes unreported because the caller did not wait."""
        callers = Callers('up-1')
        check = callers.lose(only_start(callers.ask(*PARTS)))
        callers.world.apply(CallerLeft(check.key))
        effects = callers.world.apply(UpstreamChecked(check, has_ended=True))
        assert messages(effects, CrashReport)


class TestBrokenStreams:
    def test_stream_that_had_just_begun_is_not_resumed(self) -> None:
        """Guards against a request that crashes the next upstream too, as its caller had got an event."""
        callers = Callers('up-1', 'up-2')
        check = callers.break_off(only_start(callers.ask(*PARTS)), reach_s=0.03)
        effects = callers.world.apply(UpstreamChecked(check, has_ended=True))
        assert not list(starts(effects))
        lost = LostRequest(PARTS, has_answer_head=True, has_event=True, reach_s=0.03)
        assert messages(effects, CrashReport)[0].request == lost

    def test_stream_whose_upstream_only_reset_the_connection_is_resumed(self) -> None:
        """Guards against a sound stream that is cut off by the check of its upstream."""
        callers = Callers('up-1', 'up-2')
        check = callers.break_off(only_start(callers.ask(*PARTS)), reach_s=0.03)
        effects = callers.world.apply(UpstreamChecked(check, has_ended=False))
        assert only_start(effects).last_event == '7'
        assert not messages(effects, CrashReport)

    def test_stream_that_went_on_is_resumed_at_once_and_reported(self) -> None:
        """Guards against streams that wait, or are cut off, while a crashed upstream is looked into."""
        callers = Callers('up-1', 'up-2')
        effects = callers.world.end(
            only_start(callers.ask(*PARTS)), AttemptResult.BROKEN, last_event='7', status=200, reach_s=2.0
        )
        resumed = only_start(effects)
        effects = callers.world.apply(UpstreamChecked(only(effects, CheckUpstream), has_ended=True))
        assert messages(effects, CrashReport)
        assert not list(starts(effects))
        assert resumed.key in callers.world.state.requests

    def test_planned_end_of_an_upstream(self) -> None:
        """Guards against a release with open streams that brings their parts under suspicion."""
        callers = Callers('up-1', 'up-2')
        start = only_start(callers.ask(*PARTS))
        callers.world.register(registration(start.instance, 2, standing=RegistrationState.DRAINING))
        effects = callers.world.end(start, AttemptResult.BROKEN, last_event='7', status=200, reach_s=0.1)
        assert CheckUpstream not in map(type, effects)
        assert only_start(effects).instance != start.instance

    def test_answer_that_a_crash_may_have_ended(self) -> None:
        """Guards against a crash that is taken for the end of an answer without length and chunks."""
        callers = Callers('up-1', 'up-2')
        start = only_start(callers.ask(*PARTS))
        effects = callers.world.end(start, AttemptResult.ANSWERED, status=200, reach_s=0.1, is_unframed=True)
        check = only(effects, CheckUpstream)
        assert messages(callers.world.apply(UpstreamChecked(check, has_ended=True)), CrashReport)
        known = [sound.reach_s for sound in callers.sound(PARTS[0])]
        assert known == [0.1]


class TestEvidence:
    def test_what_is_known_of_the_parts_comes_before_the_crash(self) -> None:
        """Guards against a popular part that is refused until gateways have said that it is sound."""
        callers = Callers('up-1', 'up-2')
        callers.world.end(only_start(callers.ask(PARTS[0])), AttemptResult.ANSWERED, status=200)
        check = callers.lose(only_start(callers.ask(*PARTS)))
        effects = callers.world.apply(UpstreamChecked(check, has_ended=True))
        sent = [send.message for send in effects if isinstance(send, Send)]
        assert [type(message) for message in sent[:2]] == [SoundParts, CrashReport]
        assert [(sound.part, sound.reach_s) for sound in sent[0].entries] == [(PARTS[0], WHOLE)]

    def test_answer_that_only_begins_does_not_release_the_part(self) -> None:
        """Guards against a part that is refused for a moment only, as its answers begin before they crash."""
        callers = Callers('up-1', 'up-2')
        callers.quarantine(PARTS[1], release_reach_s=0.3)
        callers.world.now += QUARANTINE_S + 0.1
        start = only_start(callers.ask(*PARTS))
        assert not messages(callers.world.apply(AnswerBegun(start.key, start.number)), SoundParts)
        effects = callers.world.apply(AnswerAdvanced(start.key, start.number, 0.5))
        assert [sound.part for sound in messages(effects, SoundParts)[0].entries] == [PARTS[1]]

    def test_refusal_of_an_upstream_says_nothing(self) -> None:
        """Guards against a part that counts as sound because upstreams refuse requests with it."""
        callers = Callers('up-1')
        callers.world.end(only_start(callers.ask(*PARTS)), AttemptResult.ANSWERED, status=500)
        assert not callers.sound(PARTS[0])


class TestRefusal:
    def test_quarantined_part_is_refused_at_once(self) -> None:
        """Guards against a request that waits, or a Retry-After though a later try fares no better."""
        callers = Callers('up-1')
        callers.quarantine(PARTS[1])
        effects = callers.ask(*PARTS)
        answer = only(effects, Refuse)
        assert (answer.status, answer.retry_after_s) == (HTTPStatus.SERVICE_UNAVAILABLE, None)
        assert only_start(callers.ask(PARTS[0])).instance == 'up-1'

    def test_identical_request_is_refused_and_others_are_served(self) -> None:
        """Guards against a request that crashes upstreams each time that its caller sends it."""
        callers = Callers('up-1', 'up-2')
        deadly, other = PartId('request-1'), PartId('request-2')
        check = callers.lose(only_start(callers.ask(*PARTS, digest=deadly)))
        effects = callers.world.apply(UpstreamChecked(check, has_ended=True))
        assert messages(effects, CrashReport)[0].request.digest == deadly
        callers.quarantine(deadly)
        assert only(callers.ask(*PARTS, digest=deadly), Refuse).retry_after_s is None
        start = only_start(callers.ask(*PARTS, digest=other))
        assert not messages(callers.world.apply(AnswerBegun(start.key, start.number)), SoundParts)
        assert only(callers.ask(*PARTS, digest=deadly), Refuse)

    def test_retry_of_a_request_whose_part_was_quarantined(self) -> None:
        """Guards against the retry of a request that was sent before its part was known."""
        callers = Callers('up-1', 'up-2')
        start = only_start(callers.ask(*PARTS))
        callers.quarantine(PARTS[1])
        effects = callers.world.end(start, AttemptResult.NOT_RUN, status=503)
        assert not list(starts(effects))
        assert only(effects, Refuse).status == HTTPStatus.SERVICE_UNAVAILABLE

    def test_one_request_at_a_time_tries_the_part(self) -> None:
        """Guards against a burst of requests when the quarantine ends."""
        callers = Callers('up-1', 'up-2')
        callers.quarantine(PARTS[1])
        callers.world.now += QUARANTINE_S + 0.1
        start = only_start(callers.ask(*PARTS))
        assert only(callers.ask(*PARTS), Refuse).retry_after_s is None
        effects = callers.world.apply(AnswerBegun(start.key, start.number))
        assert messages(effects, SoundParts)[0].entries[0].age_s == 0
        assert only_start(callers.ask(*PARTS))

    def test_part_is_forgotten(self) -> None:
        """Guards against a part that is tried one request at a time forever."""
        callers = Callers('up-1')
        callers.quarantine(PARTS[1])
        callers.world.now += QUARANTINE_S + TRIAL_S + 1
        assert only_start(callers.ask(*PARTS))
        assert only_start(callers.ask(*PARTS))

    def test_gateway_that_knows_the_part_says_so(self) -> None:
        """Guards against a part that stays refused although a gateway has seen answers to it."""
        callers = Callers('up-1')
        start = only_start(callers.ask(*PARTS))
        callers.world.apply(AnswerBegun(start.key, start.number))
        callers.world.now += 4
        effects = callers.quarantine(PARTS[0])
        assert [(sound.part, sound.age_s) for sound in messages(effects, SoundParts)[0].entries] == [
            (PARTS[0], 4)
        ]

    def test_late_message_of_another_host(self) -> None:
        """Guards against a part that a late message with the same or an older version refuses again."""
        callers = Callers('up-1')
        callers.quarantine(PARTS[1], version=2)
        callers.quarantine(PARTS[1], version=2, is_released=True)
        callers.quarantine(PARTS[1], version=2)
        callers.quarantine(PARTS[1], version=1)
        assert only_start(callers.ask(*PARTS))
        callers.quarantine(PARTS[1], version=3)
        assert only(callers.ask(*PARTS), Refuse)
