from http import HTTPStatus

import pytest

from basilcove.core.events import Effect, StopRequested, Tick
from basilcove.core.ids import Role
from basilcove.core.reducer import Node, reduce
from basilcove.gateway.config import GatewayConfig, RetryConfig
from basilcove.gateway.const import DEFAULT_RETRY_AFTER_S
from basilcove.gateway.events import (
    AbortAnswer,
    AnswerBegun,
    AttemptResult,
    CallerLeft,
    CancelAttempt,
    DeliverBuffered,
    Refuse,
    RequestArrived,
    RequestHead,
)
from basilcove.gateway.models import GatewayState
from basilcove.registry.messages import RegistrationState
from basilcove.requests.events import StopCompleted
from tests.gateway.world import (
    HOST,
    KEY,
    SLOTS,
    STOP_TIMEOUT_S,
    World,
    document,
    only_start,
    registration,
    starts,
)


def refusal(effects: list[Effect]) -> Refuse:
    refusals = [effect for effect in effects if isinstance(effect, Refuse)]
    assert len(refusals) == 1
    return refusals[0]


class TestRefusals:
    def test_without_document_requests_are_unavailable(self) -> None:
        """Guards against 404 or 401 from a process that has no document yet."""
        state = GatewayState.from_config(
            GatewayConfig(listen='127.0.0.1:0'), registration('x').zone, STOP_TIMEOUT_S
        )
        head = RequestHead('r', HOST, '/lookup/x', KEY, None)
        effects = reduce(Node(state), RequestArrived(1, head), 0, 0)
        answer = refusal(effects)
        assert (answer.status, answer.retry_after_s is not None) == (HTTPStatus.SERVICE_UNAVAILABLE, True)

    def test_without_document_retry_after_covers_the_start(self) -> None:
        """Guards against a Retry-After so short that a gateway that has just started refuses twice."""
        state = GatewayState.from_config(
            GatewayConfig(listen='127.0.0.1:0'), registration('x').zone, STOP_TIMEOUT_S
        )
        head = RequestHead('r', HOST, '/lookup/x', KEY, None)
        answer = refusal(reduce(Node(state), RequestArrived(1, head), 0, 0))
        assert answer.retry_after_s is not None
        assert answer.retry_after_s >= 1

    def test_unknown_route_and_key(self) -> None:
        """Guards against requests that no route or team allows."""
        world = World('up-1')
        assert refusal(world.ask('/nowhere/x')).status == HTTPStatus.NOT_FOUND
        assert refusal(world.ask(key='other')).status == HTTPStatus.UNAUTHORIZED
        assert refusal(world.ask(key='')).status == HTTPStatus.UNAUTHORIZED

    def test_public_route_needs_no_key(self) -> None:
        """Guards against a public route that requires a key."""
        content = document()
        content['routes']['lookup']['is_public'] = True
        world = World('up-1')
        world.apply_document(content, revision=2)
        assert only_start(world.ask(key='')).team == ''

    def test_removed_key_is_refused_immediately(self) -> None:
        """Guards against a revoked key that still works."""
        world = World('up-1')
        content = document()
        content['teams']['shire']['key_digests'] = []
        world.apply_document(content, revision=2)
        assert refusal(world.ask()).status == HTTPStatus.UNAUTHORIZED

    def test_without_upstream_requests_are_refused_immediately(self) -> None:
        """Guards against a request that waits for its deadline although no upstream can serve it."""
        answer = refusal(World().ask())
        assert answer.status == HTTPStatus.SERVICE_UNAVAILABLE
        assert answer.retry_after_s is not None


class TestAttempts:
    def test_request_that_did_not_run_goes_to_another_upstream(self) -> None:
        """Guards against a request that fails when one upstream refuses it although others could serve it."""
        world = World('up-1', 'up-2')
        first = only_start(world.ask('/book/x'))
        second = only_start(world.end(first, AttemptResult.NOT_RUN, status=503))
        assert second.instance != first.instance
        assert refusal(world.end(second, AttemptResult.NOT_RUN, status=503)).status == 503

    @pytest.mark.parametrize('path', ['/book/x', '/once/x'])
    def test_lost_answer_of_unsafe_request_is_not_retried(self, path: str) -> None:
        """Guards against a booking that runs twice, and against an answer that falsely denies that it ran."""
        world = World('up-1', 'up-2')
        effects = world.end(only_start(world.ask(path)), AttemptResult.LOST)
        assert not list(starts(effects))
        assert refusal(effects).status == HTTPStatus.BAD_GATEWAY

    def test_lost_answer_of_safe_request_is_retried(self) -> None:
        """Guards against a lookup that fails with one upstream, and against endless retries."""
        world = World('up-1', 'up-2', 'up-3')
        second = only_start(world.end(only_start(world.ask()), AttemptResult.LOST))
        effects = world.end(second, AttemptResult.LOST)
        assert not list(starts(effects))
        assert refusal(effects).status == HTTPStatus.BAD_GATEWAY

    def test_not_run_after_a_loss_is_answered_as_lost(self) -> None:
        """Guards against 503 for a request whose first attempt may have run."""
        world = World('up-1', 'up-2')
        second = only_start(world.end(only_start(world.ask()), AttemptResult.LOST))
        effects = world.end(second, AttemptResult.NOT_RUN, status=503)
        assert refusal(effects).status == HTTPStatus.BAD_GATEWAY

    def test_buffered_failure_is_delivered_without_another_upstream(self) -> None:
        """Guards against an upstream's failure that is replaced by one of the gateway's own."""
        world = World('up-1')
        effects = world.end(only_start(world.ask()), AttemptResult.FAILED, status=500)
        assert any(isinstance(effect, DeliverBuffered) for effect in effects)

    def test_unsent_attempt_does_not_count(self) -> None:
        """Guards against a booking that gets no further attempt although no upstream was sent anything."""
        world = World('up-1', 'up-2', 'up-3')
        second = only_start(world.end(only_start(world.ask('/book/x')), AttemptResult.UNSENT))
        third = only_start(world.end(second, AttemptResult.UNSENT))
        assert refusal(world.end(third, AttemptResult.UNSENT)).status == HTTPStatus.SERVICE_UNAVAILABLE

    def test_misdirected_upstream_is_not_asked_again(self) -> None:
        """Guards against requests for an instance whose address now belongs to another one."""
        world = World('up-1')
        world.end(only_start(world.ask()), AttemptResult.MISDIRECTED, status=421)
        assert refusal(world.ask()).status == HTTPStatus.SERVICE_UNAVAILABLE

    def test_late_end_of_a_former_attempt_changes_nothing(self) -> None:
        """Guards against an answer that is attributed to the next attempt."""
        world = World('up-1', 'up-2')
        first = only_start(world.ask())
        world.end(first, AttemptResult.LOST)
        assert not world.end(first, AttemptResult.ANSWERED)
        assert world.state.requests

    def test_retries_are_bounded_by_the_budget(self) -> None:
        """Guards against retries that overload a service whose answers are lost."""
        world = World('up-1', 'up-2', retries=RetryConfig(ratio=0.2, base=0, window_s=10))
        retries = 0
        for _ in range(100):
            second = list(starts(world.end(only_start(world.ask()), AttemptResult.LOST)))
            retries += len(second)
            for start in second:
                world.end(start, AttemptResult.ANSWERED)
            world.now += 0.01
        assert 10 <= retries <= 20


class TestStreams:
    def test_broken_stream_resumes_after_its_last_event(self) -> None:
        """Guards against a stream that breaks with its upstream, and against duplicate events."""
        world = World('up-1', 'up-2')
        first = only_start(world.ask('/brief/x'))
        world.apply(AnswerBegun(first.key, first.number))
        second = only_start(world.end(first, AttemptResult.BROKEN, last_event='7'))
        assert second.last_event == '7'
        assert second.instance != first.instance

    @pytest.mark.parametrize(('path', 'last_event'), [('/once/x', '7'), ('/brief/x', '')])
    def test_stream_that_can_not_resume_is_aborted(self, path: str, last_event: str) -> None:
        """Guards against an answer mixed from two runs, and a truncated answer that looks complete."""
        world = World('up-1', 'up-2')
        first = only_start(world.ask(path))
        world.apply(AnswerBegun(first.key, first.number))
        effects = world.end(first, AttemptResult.BROKEN, last_event=last_event)
        assert any(isinstance(effect, AbortAnswer) for effect in effects)
        assert not world.state.requests


class TestDeadlines:
    def test_shorter_timeout_of_route_and_caller_applies(self) -> None:
        """Guards against an upstream that is given more time than is left."""
        world = World('up-1')
        assert only_start(world.ask(timeout_s=5)).timeout_s == pytest.approx(5)
        assert only_start(world.ask(timeout_s=60)).timeout_s == pytest.approx(8)

    def test_retry_gets_the_remaining_time(self) -> None:
        """Guards against a second attempt that restarts the timeout."""
        world = World('up-1', 'up-2')
        first = only_start(world.ask(timeout_s=5))
        world.now += 2
        assert only_start(world.end(first, AttemptResult.LOST)).timeout_s == pytest.approx(3)

    def test_expired_request_ends_with_504(self) -> None:
        """Guards against a caller that waits beyond the route's timeout."""
        world = World('up-1')
        world.ask(timeout_s=5)
        world.now += 5.1
        effects = world.apply(Tick())
        assert refusal(effects).status == HTTPStatus.GATEWAY_TIMEOUT
        assert any(isinstance(effect, CancelAttempt) for effect in effects)
        assert not world.state.requests

    def test_caller_that_left_ends_its_attempt(self) -> None:
        """Guards against an upstream that continues to work for a caller who left."""
        world = World('up-1')
        start = only_start(world.ask())
        assert CancelAttempt(start.key) in world.apply(CallerLeft(start.key))
        assert not world.state.requests
        assert not world.state.pools.by_instance[start.instance].open_attempts


class TestAdmission:
    """Sends more streams than there are slots, which once degraded service long after a burst."""

    def test_full_upstreams_cause_immediate_refusals(self) -> None:
        """Guards against requests that wait at an upstream until they are too late."""
        world = World('up-1', 'up-2')
        admitted = [list(starts(world.ask('/brief/x'))) for _ in range(40)]
        # Each upstream may get one more request than it has slots.
        assert sum(map(len, admitted)) <= 2 * (SLOTS + 1) + 1

    def test_attempts_of_other_gateways_count(self) -> None:
        """Guards against gateways that each fill all slots regardless of the others."""
        world = World('up-1')
        world.report_others({'up-1': SLOTS + 1})
        assert refusal(world.ask('/brief/x')).status == HTTPStatus.SERVICE_UNAVAILABLE

    def test_slots_are_reserved_for_urgent_work(self) -> None:
        """Guards against work of a low priority that takes the last slot."""
        world = World('up-1')
        world.state.admission.records.clear()
        world.report_others({'up-1': SLOTS - 1})
        assert refusal(world.ask('/summary/x')).status == HTTPStatus.SERVICE_UNAVAILABLE
        assert list(starts(world.ask('/brief/x')))

    def test_low_priority_keeps_its_floor(self) -> None:
        """Guards against urgent work that starves all other work."""
        world = World('up-1')
        served = 0
        for _ in range(200):
            world.now += 0.02
            world.report_others({'up-1': SLOTS - 1})
            for start in starts(world.ask('/summary/x')):
                served += 1
                world.end(start, AttemptResult.ANSWERED)
        assert served >= 0.25 * 200

    def test_there_is_no_refusal_while_there_is_room(self) -> None:
        """Guards against needless refusals."""
        world = World('up-1')
        for _ in range(20):
            start = only_start(world.ask('/summary/x'))
            world.end(start, AttemptResult.ANSWERED)
            world.now += 0.1


class TestStops:
    def test_late_requests_are_refused_as_not_run(self) -> None:
        """Guards against a request that is accepted long after the stop request and aborted by the stop."""
        world = World('up-1')
        world.apply(StopRequested())
        world.now += 1
        assert only_start(world.ask('/brief/x'))
        world.now += 3
        assert refusal(world.ask('/brief/x')).status == HTTPStatus.SERVICE_UNAVAILABLE

    def test_stopping_gateway_sends_a_short_retry_after(self) -> None:
        """Guards against a late answer because the caller waits before it retries at another gateway."""
        world = World('up-1')
        world.apply(StopRequested())
        world.now += 4
        answer = refusal(world.ask('/brief/x'))
        assert answer.retry_after_s is not None
        assert answer.retry_after_s < DEFAULT_RETRY_AFTER_S / 2

    def test_booking_that_would_be_cut_off_is_refused(self) -> None:
        """Guards against a booking that is taken late, runs, and ends without an answer."""
        world = World('up-1')
        start = only_start(world.ask('/book/x', timeout_s=8))
        world.now += STOP_TIMEOUT_S - 2
        world.end(start, AttemptResult.ANSWERED)
        world.apply(StopRequested())
        assert only_start(world.ask('/book/x', timeout_s=8))
        world.now += 2.5
        assert refusal(world.ask('/book/x', timeout_s=8)).status == HTTPStatus.SERVICE_UNAVAILABLE
        assert only_start(world.ask('/lookup/x', timeout_s=8))

    def test_open_booking_is_answered_before_the_end(self) -> None:
        """Guards against a connection that is closed without an answer at the end of a stop."""
        world = World('up-1')
        world.apply(StopRequested())
        world.now += 2
        only_start(world.ask('/book/x', timeout_s=8))
        world.now += STOP_TIMEOUT_S - 2.1
        effects = world.apply(Tick())
        assert refusal(effects).status == HTTPStatus.GATEWAY_TIMEOUT
        assert StopCompleted(Role.GATEWAY) in effects

    def test_stream_that_has_begun_goes_on_until_the_end(self) -> None:
        """Guards against a stream that is cut off before the process has to end."""
        world = World('up-1')
        start = only_start(world.ask('/brief/x', timeout_s=8))
        world.apply(AnswerBegun(start.key, start.number))
        world.apply(StopRequested())
        world.now += STOP_TIMEOUT_S - 0.1
        effects = world.apply(Tick())
        assert not any(isinstance(effect, AbortAnswer | CancelAttempt) for effect in effects)

    def test_stop_waits_for_open_requests(self) -> None:
        """Guards against a planned stop that aborts requests in flight."""
        world = World('up-1')
        start = only_start(world.ask('/brief/x'))
        world.apply(StopRequested())
        world.now += 4
        assert StopCompleted(Role.GATEWAY) not in world.apply(Tick())
        world.end(start, AttemptResult.ANSWERED)
        assert StopCompleted(Role.GATEWAY) in world.apply(Tick())


class TestDraining:
    def test_draining_upstream_gets_no_requests(self) -> None:
        """Guards against requests for an upstream that is shutting down."""
        world = World('up-1')
        world.register(registration('up-1', 2, standing=RegistrationState.DRAINING))
        assert refusal(world.ask()).status == HTTPStatus.SERVICE_UNAVAILABLE
        world.register(registration('up-1', 1))
        assert refusal(world.ask()).status == HTTPStatus.SERVICE_UNAVAILABLE
