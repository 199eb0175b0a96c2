from tests.requests.network import World, answer_parts, make_environment, make_request


class TestPath:
    def test_each_kind_of_request_gets_its_whole_answer(self) -> None:
        """Guards against a path on which a request without any fault fails."""
        world = World(make_environment())
        names = ('stream', 'model', 'lookup', 'charge')
        callers = [world.arrive('e0', make_request(f'r-{kind}', kind)) for kind in names]
        callers.append(world.arrive('e1', make_request('r-key', 'charge', key='k')))
        world.run(2)
        for caller in callers:
            assert (caller.end, caller.runs) == ('whole', 1)
            assert caller.body == b''.join(answer_parts(caller.request.body))
