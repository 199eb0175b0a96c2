import itertools
import json

from basilcove.core.events import Message
from basilcove.core.ids import NodeId, Revision
from basilcove.distribution.messages import Chunk, Delta
from tests.distribution.fleet import Fleet
from tests.distribution.machine import corrupt

REACHABLE = ('control-1', 'agent-1')


def _corrupt_second_revision(message: Message) -> Message | None:
    is_second = isinstance(message, Chunk) and message.revision == 2
    return corrupt(message, 1) if is_second or isinstance(message, Delta) else None


class TestUnreadableDocument:
    def test_restarted_entry_takes_the_newest_document_that_can_be_read(self) -> None:
        """Guards against an entry that is never ready, as the newest document can't be read."""
        fleet = Fleet()
        controls = ['control-1', 'control-2', 'control-3']
        fleet.accept(controls)
        fleet.net.run(3)
        fleet.accept_text(r'{"name": "\ud83d"}', controls)
        fleet.net.run(3)
        fleet.start('entry-1', 'nobsa')
        fleet.net.run(8)
        assert fleet.in_effect('entry-1') == [(1, fleet.accepted[1])]
        fleet.accept(controls)
        fleet.net.run(3)
        assert fleet.in_effect('entry-1')[-1] == (3, fleet.accepted[3])

    def test_document_that_one_host_can_not_read(self) -> None:
        """Guards against an entry that acts on an older document, as one host can't read the newest."""
        fleet = Fleet()
        fleet.accept(['control-1', 'control-2', 'control-3'])
        fleet.net.run(3)
        fleet.accept(['control-1', 'control-2'])
        fleet.state('control-3').unreadable_revision = Revision(2)
        fleet.net.run(3)
        fleet.start('entry-1', 'nobsa')
        fleet.net.run(8)
        assert fleet.in_effect('entry-1') == [(2, fleet.accepted[2])]


class TestUpgrade:
    def test_document_is_upgraded_before_it_comes_into_effect(self) -> None:
        """Guards against routes that an earlier build opened, at an entry that starts with its document."""
        fleet = Fleet()
        fleet.accept(['control-1', 'control-2', 'control-3'])
        fleet.net.run(3)
        fleet.start('entry-1', 'nobsa')
        fleet.state('entry-1').upgrade = lambda document: document.model_copy(update={'teams': {}})
        fleet.net.run(8)
        assert [revision for revision, _ in fleet.in_effect('entry-1')] == [1]
        assert not json.loads(fleet.in_effect('entry-1')[0][1])['teams']
        assert fleet.state('entry-1').own.text == fleet.accepted[1]


class TestCutOff:
    def test_cut_off_entry_is_not_ready_below_an_offer(self) -> None:
        """Guards against an entry that acts on an old document while it still fetches a newer one."""
        fleet = Fleet()
        fleet.accept(['control-1', 'control-2', 'control-3'])
        fleet.net.run(3)
        fleet.net.cut = {frozenset(map(NodeId, pair)) for pair in itertools.combinations(fleet.layout(), 2)}
        fleet.accept(['control-1', 'control-2'])
        fleet.net.run(3)
        fleet.net.corruption = 1
        fleet.net.corrupt = _corrupt_second_revision
        fleet.net.cut -= {frozenset((NodeId('entry-1'), NodeId(other))) for other in REACHABLE}
        fleet.start('entry-1', 'nobsa')
        fleet.net.run(8)
        assert (fleet.state('entry-1').own.revision, fleet.in_effect('entry-1')) == (1, [])
        fleet.net.corruption = 0
        fleet.net.run(4)
        assert fleet.in_effect('entry-1') == [(2, fleet.accepted[2])]
