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
        assert queue.take(0) is None


class TestAdmittedBefore:
    def test_bound_in_time_keeps_what_another_upstream_had_admitted(self) -> None:
        """Guards against a planned stop of one upstream that turns into refusals at another."""
        queue = AdmissionQueue(1)
        team, priority = TeamName('t'), PriorityName('p')
        queue.offer(QueueItem(AttemptId('speed'), team, priority, 10, 1000), 0)
        queue.take(0)
        queue.finish(AttemptId('speed'), 10, 1)
        for index in range(20):
            item = QueueItem(AttemptId(f'moved-{index}'), team, priority, 10, 1000, admitted_before=True)
            assert queue.offer(item, 1) == Admitted()
        late = queue.offer(QueueItem(AttemptId('new'), team, priority, 10, 1000), 1)
        assert isinstance(late, Refused)
        assert not queue.expire(1)
