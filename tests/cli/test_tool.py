import json
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import grpc
import pytest

from basilcove import environment as documents
from basilcove.cli.__main__ import main
from basilcove.cli.messages import (
    ApplyReply,
    ApplyRequest,
    DrainReply,
    DrainRequest,
    ShowReply,
    StatusReply,
    UpstreamRow,
    UpstreamsReply,
    ZoneReply,
    ZonesReply,
)
from basilcove.core.events import Message
from basilcove.core.ids import Incarnation, NodeId, Role, Stage, Zone
from basilcove.environment.canonical import canonical
from basilcove.environment.models import Environment
from basilcove.rpc import rpc_pb2 as pb
from basilcove.rpc.envelopes import Identity, unwrap
from basilcove.zones.models import Evacuation, Evacuations

DEMO = 'examples/demo.yaml'

Answer = Callable[[Message], Message | None]


class FakeOperator(grpc.GenericRpcHandler):
    """A node that records requests of operators; if the answer is None, it is lost."""

    def __init__(self, answer: Answer) -> None:
        self.asked: list[Message] = []
        self._answer = answer
        self._identity = Identity(NodeId('host-1'), (Role.ENTRY,), Incarnation(1), Zone('collie-depot'))
        self.server = grpc.server(ThreadPoolExecutor(2), handlers=(self,))
        self.address = f'127.0.0.1:{self.server.add_insecure_port("127.0.0.1:0")}'
        self.server.start()

    def service(self, details: grpc.HandlerCallDetails) -> grpc.RpcMethodHandler:
        return grpc.unary_unary_rpc_method_handler(
            self._call, pb.Envelope.FromString, pb.Envelope.SerializeToString
        )

    def _call(self, envelope: pb.Envelope, context: grpc.ServicerContext) -> pb.Envelope:
        self.asked.append(unwrap(envelope))
        reply = self._answer(self.asked[-1])
        if reply is None:
            context.abort(grpc.StatusCode.UNAVAILABLE, 'connection lost')
        return self._identity.wrap(reply)


@pytest.fixture
def operator() -> Iterator[Callable[[Answer], FakeOperator]]:
    started: list[FakeOperator] = []

    def start(answer: Answer) -> FakeOperator:
        started.append(FakeOperator(answer))
        return started[-1]

    yield start
    for fake in started:
        fake.server.stop(None)


def run(capsys: pytest.CaptureFixture[str], *words: str) -> tuple[int, str, str]:
    status = main(list(words))
    printed = capsys.readouterr()
    return status, printed.out, printed.err


class TestChanges:
    def test_lost_answer_leads_to_a_retry_at_the_next_node_with_the_same_id(self, capsys, operator) -> None:
        """Guards against a change that is applied twice because its first answer was lost."""
        loses = operator(lambda request: None)
        answers = operator(lambda request: ApplyReply(accepted=True, revision=4))
        nodes = f'--node={loses.address},{answers.address}'
        status, out, err = run(capsys, 'apply', DEMO, '--expected-revision', '3', nodes, '--insecure')
        assert (status, out) == (0, 'demo: revision 4 accepted for trial\n')
        assert loses.asked == answers.asked
        request = answers.asked[0]
        assert isinstance(request, ApplyRequest)
        assert request.expected_revision == 3
        assert request.request_id in err
        demo = documents.load(Path(DEMO).read_text())
        assert isinstance(demo, Environment)
        assert request.document == canonical(demo)

    def test_node_without_a_control_majority_is_skipped(self, capsys, operator) -> None:
        """Guards against giving up at a node that is partitioned from the control group."""
        cut_off = operator(
            lambda request: DrainReply(accepted=False, reasons=('no control majority',), unavailable=True)
        )
        answers = operator(lambda request: DrainReply(accepted=True))
        nodes = f'--node={cut_off.address},{answers.address}'
        status, _, _ = run(capsys, '--insecure', 'drain', '1_000', nodes, '--request-id', '7e3')
        assert status == 0
        assert answers.asked == [DrainRequest('1_000', '7e3')]
        status, _, err = run(capsys, '--insecure', 'drain', 'x', f'--node={cut_off.address}')
        assert status == 2
        assert 'no control majority' in err

    def test_a_refusal_names_its_reasons(self, capsys, operator) -> None:
        """Guards against scripts that take a refused change for an accepted one."""
        fake = operator(
            lambda request: ApplyReply(accepted=False, revision=5, reasons=('revision 5 stands',))
        )
        words = (
            'apply',
            DEMO,
            '--expected-revision=3',
            '--request-id=a',
            '--node',
            fake.address,
            '--insecure',
        )
        assert run(capsys, *words) == (1, '', 'refused: revision 5 stands\n')
        status, out, _ = run(capsys, '--json', *words)
        assert status == 1
        assert json.loads(out) == {
            'accepted': False, 'revision': 5, 'reasons': ['revision 5 stands'], 'unavailable': False
        }  # fmt: skip


class TestQueries:
    def test_a_shown_document_can_be_applied_again(self, capsys, operator, tmp_path) -> None:
        """Guards against output that loses part of the document."""
        demo = documents.load(Path(DEMO).read_text())
        assert isinstance(demo, Environment)
        fake = operator(lambda request: ShowReply(accepted=True, revision=2, document=canonical(demo)))
        status, out, _ = run(capsys, 'show', 'demo', '--node', fake.address, '--insecure')
        assert status == 0
        assert documents.load(out) == demo

    def test_status_and_upstreams_are_readable(self, capsys, operator) -> None:
        """Guards against a crash on a node without document, leader or upstream."""
        row = UpstreamRow('engine-1', 'absent', Zone('collie-depot'), NodeId(''), ('m',), 8, 0, 0, 0)
        replies = {'StatusRequest': StatusReply(accepted=True), 'UpstreamsRequest': UpstreamsReply(True)}
        replies['UpstreamsRequest'] = UpstreamsReply(accepted=True, upstreams=(row,))
        fake = operator(lambda request: replies[type(request).__name__])
        status, out, _ = run(capsys, 'status', '--node', fake.address, '--insecure')
        assert (status, 'no document in effect' in out) == (0, True)
        status, out, _ = run(capsys, 'upstreams', '--node', fake.address, '--insecure', '--json')
        assert (status, json.loads(out)['upstreams'][0]['state']) == (0, 'absent')
        assert StatusReply(accepted=True).stage is Stage.PRODUCTION


class TestUsage:
    @pytest.mark.parametrize(
        'words',
        [
            ('apply', DEMO),
            ('apply', DEMO, '--expected-revision', 'three', '--node', 'x:1', '--insecure'),
            ('apply', DEMO, '--expected-revision', '1', '--node', '127.0.0.1:1', '--insecure'),
            ('status',),
            ('status', '--node', 'x:1'),
            ('status', '--node', 'x:1', '--certificate', 'a.pem'),
            ('validate', 'examples/no-such.yaml'),
            ('show', 'demo', '--stage', 'stable', '--node', 'x:1', '--insecure'),
            ('explode',),
        ],
    )
    def test_unusable_command_lines_exit_with_2(self, capsys, words: tuple[str, ...]) -> None:
        """Guards against a traceback, or a status that scripts take for a refusal."""
        status, _, err = run(capsys, *words)
        assert status == 2
        assert err

    def test_every_fault_of_a_document_is_printed(self, capsys, tmp_path) -> None:
        """Guards against a tool that must run once for each fault."""
        file = tmp_path / 'faulty.yaml'
        file.write_text('name: demo\ncolour: red\nteams: {}\npriorities: {}\n')
        status, _, err = run(capsys, 'validate', str(file))
        assert status == 1
        assert len(err.splitlines()) == 3

    def test_help_lists_the_commands(self, capsys) -> None:
        """Guards against help that names no command."""
        status, out, err = run(capsys, '--help')
        assert status == 0
        assert 'promote ENVIRONMENT' in out + err


class TestZones:
    def test_changes_name_zone_and_id(self, capsys, operator) -> None:
        """Guards against a change of another zone, and a resend that counts as a new change."""
        node = operator(lambda request: ZoneReply(accepted=True, version=4))
        options = ('--node', node.address, '--insecure', '--request-id', 'r-1')
        for command, is_evacuation in (('evacuate', True), ('restore', False)):
            status, out, _ = run(capsys, 'zones', command, '12', *options)
            assert (status, out) == (0, f'12: {command}d, version 4\n')
            request = node.asked[-1]
            assert (request.zone, request.evacuate, request.request_id) == ('12', is_evacuation, 'r-1')
            assert request.requester

    def test_list(self, capsys, operator) -> None:
        """Guards against a list that lacks who evacuated a zone, and since when."""
        zones = Evacuations(7, (Evacuation(Zone('b'), 0, 'ops'),), 0, 'ops')
        node = operator(lambda request: ZonesReply(accepted=True, evacuations=zones))
        status, out, _ = run(capsys, 'zones', 'list', '--node', node.address, '--insecure')
        assert status == 0
        assert out.splitlines()[1:] == ['b     1970-01-01T00:00:00+00:00  ops', 'version 7']
        _, out, _ = run(capsys, 'zones', 'list', '--node', node.address, '--insecure', '--json')
        assert json.loads(out)['evacuations']['rows'] == [{'zone': 'b', 'time': 0.0, 'requester': 'ops'}]

    def test_name_that_no_zone_can_have(self, capsys, operator) -> None:
        """Guards against a name that every host refuses."""
        status, _, error = run(capsys, 'zones', 'evacuate', 'x' * 300, '--node', 'x:1', '--insecure')
        assert (status, error.startswith('error: the name of a zone')) == (2, True)
