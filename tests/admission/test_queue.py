import pytest

from basilcove.admission.models import Admitted, QueueItem, Refused
from basilcove.admission.queue import AdmissionQueue
from basilcove.core.ids import AttemptId, PriorityName, TeamName


class TestCancel:
    def test_a_cancelled_attempt_never_starts(self) -> None:
        """Guards against work for a caller who has gone."""
        queue = AdmissionQueue(1)
        item = QueueItem(AttemptId('a'), TeamName('t'), PriorityName('p'), 10, 5)
        assert queue.offer(item, 0) == Admitted()
        assert queue.cancel(item.attempt_id)
        assert queue.start_next(0) is None


class TestAdmittedBefore:
    def test_queueing_time_does_not_evict_attempts_admitted_before(self) -> None:
        """Guards against a planned stop of one upstream that leads to refusals at another."""
        queue = AdmissionQueue(1)
        team, priority = TeamName('t'), PriorityName('p')
        queue.offer(QueueItem(AttemptId('speed'), team, priority, 10, 1000), 0)
        queue.start_next(0)
        queue.finish(AttemptId('speed'), 10, 1)
        for index in range(20):
            item = QueueItem(AttemptId(f'moved-{index}'), team, priority, 10, 1000, admitted_before=True)
            assert queue.offer(item, 1) == Admitted()
        refusal = queue.offer(QueueItem(AttemptId('new'), team, priority, 10, 1000), 1)
        assert isinstance(refusal, Refused)
        assert not queue.expire(1)


class TestDeadlines:
    @pytest.mark.parametrize(('work', 'is_refused'), [(150, False), (199, False), (201, True)])
    def test_only_work_that_is_clearly_late_is_refused(self, work: float, is_refused: bool) -> None:
        """Guards against refusing work that may end in time, since an estimate is off by up to a third."""
        queue = AdmissionQueue(1)
        team, priority = TeamName('t'), PriorityName('p')
        queue.offer(QueueItem(AttemptId('speed'), team, priority, 10, 1000), 0)
        queue.start_next(0)
        queue.finish(AttemptId('speed'), 10, 1)
        answer = queue.offer(QueueItem(AttemptId('a'), team, priority, work, 16), 1)
        assert isinstance(answer, Refused) == is_refused
