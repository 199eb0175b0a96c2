from basilcove.admission.models import Admitted, QueueItem
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
