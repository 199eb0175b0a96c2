from tests.distribution.fleet import Fleet


class TestSpread:
    def test_a_change_reaches_every_node_as_a_delta(self) -> None:
        """Guards against sending a whole copy for each of 3,600 changes a day."""
        fleet = Fleet()
        fleet.accept(['control-1', 'control-2'], teams=50)
        fleet.net.run(2)
        fleet.net.sent.clear()
        fleet.accept(['control-1', 'control-2'], teams=50)
        fleet.net.run(1)
        for name in fleet.layout():
            assert [revision for revision, _ in fleet.in_effect(name)] == [1, 2]
        assert 'distribution.chunk' not in fleet.net.sent
