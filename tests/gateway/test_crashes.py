from dataclasses import replace
from http import HTTPStatus
from typing import Any

from basilcove.core.events import Effect, Received, Send
from basilcove.core.ids import NO_PART, PartId
from basilcove.gateway.events import (
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
from basilcove.quarantine.const import TRIAL_S
from basilcove.quarantine.messages import CrashReport, QuarantinedPart, QuarantinedParts, SoundParts
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
