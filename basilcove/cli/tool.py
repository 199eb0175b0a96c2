"""Commands of the operators' tool, as fire calls them."""

from pathlib import Path

from basilcove import environment as documents
from basilcove.cli import rendering
from basilcove.cli.exceptions import RefusedError, UsageError
from basilcove.cli.explaining import explain
from basilcove.cli.messages import (
    ApplyReply,
    ApplyRequest,
    DrainReply,
    DrainRequest,
    HostReply,
    HostRequest,
    PromoteReply,
    PromoteRequest,
    ShowReply,
    ShowRequest,
    StatusReply,
    StatusRequest,
    UpstreamsReply,
    UpstreamsRequest,
)
from basilcove.cli.session import Session
from basilcove.cli.zones import Zones
from basilcove.const import VERSION
from basilcove.core.ids import EnvironmentName, NodeId, Revision, Stage, UpstreamName
from basilcove.environment.canonical import digest
from basilcove.environment.exceptions import DocumentError
from basilcove.environment.faults import DocumentFaults
from basilcove.environment.models import Environment
from basilcove.environment.storing import write_stored


class Tool:
    """Operates basilcove: documents, their promotion, and upstreams.

    Commands:
        validate FILE                               check a document, without a node
        apply FILE --expected-revision N            make it the newest of the trial stage
        promote ENVIRONMENT --expected-revision N   copy the trial document to production
        show ENVIRONMENT [--stage trial]            print the newest document
        status                                      print the status of the node
        upstreams                                   print the upstreams that the node knows
        drain UPSTREAM                              give an upstream no new work
        admit HOST                                  let a host join the control group
        remove HOST                                 remove a host from the control group
        zones list                                  print the evacuated availability zones
        zones evacuate ZONE                         send no requests to the upstreams of a zone
        zones restore ZONE                          revert the evacuation of a zone
        explain REQUEST FILE...                     print the log lines of a request
        version                                     print the tool's version

    `basilcove COMMAND --help` describes a command. Apply, promote, drain, admit,
    remove and the changes of zones take --request-id ID, print one if it isn't
    given, and may be retried with it if an answer is lost.

    Every command that calls a node needs --node, or the variable BASILCOVE_NODES,
    and either --insecure or --certificate, --key and --authority.

    Exit status: 0 done, 1 refused, 2 wrong usage or no node answered.

    Args:
        node: Addresses HOST:PORT of nodes, separated by commas and tried in turn.
        json: Print JSON instead of text.
        insecure: Connect in plain text, without TLS.
        certificate: PEM file of the operator's certificate.
        key: PEM file of the certificate's key.
        authority: PEM file of the authority that signed the nodes' certificates.
    """

    def __init__(
        self,
        node: str = '',
        json: bool = False,
        insecure: bool = False,
        certificate: str = '',
        key: str = '',
        authority: str = '',
    ) -> None:
        """Store the options of all commands."""
        files = {'--certificate': certificate, '--key': key, '--authority': authority}
        self._session = Session(node, json, insecure, files)

    @property
    def zones(self) -> Zones:
        """Evacuate and restore availability zones."""
        return Zones(self._session)

    def validate(self, file: str) -> None:
        """Check a document without a node.

        Args:
            file: Document in YAML.
        """
        environment = _load(file)
        text = _write(environment)
        counts = f'{len(environment.teams)} teams, {len(environment.upstreams)} upstreams'
        summary = {
            'accepted': True,
            'environment': environment.name,
            'digest': digest(text),
            'bytes': len(text),
        }
        self._session.print(
            summary, f'{environment.name}: valid, {counts}, {len(text)} bytes, {digest(text)}'
        )

    def apply(self, file: str, *, expected_revision: str, request_id: str = '', stage: str = 'trial') -> None:
        """Make a document the newest of the trial stage.

        Args:
            file: Document in YAML.
            expected_revision: Revision that it replaces; 0 for the first document.
            request_id: Repeat it to learn the outcome of a request whose answer was lost.
            stage: Only trial accepts documents; production gets them by promotion.
        """
        environment = _load(file)
        target_stage = _stage(stage)
        request = ApplyRequest(
            EnvironmentName(environment.name),
            target_stage,
            _write(environment),
            _revision(expected_revision),
            self._session.request_id(request_id),
        )
        reply = self._session.ask(request, ApplyReply)
        text = f'{environment.name}: revision {reply.revision} accepted for {target_stage.value}'
        self._session.print(reply, text, request_id=request.request_id)

    def promote(self, environment: str, *, expected_revision: str, request_id: str = '') -> None:
        """Copy the trial document to production.

        Args:
            environment: Name of the environment.
            expected_revision: Revision of the trial document to copy.
            request_id: Repeat it to learn the outcome of a request whose answer was lost.
        """
        name = EnvironmentName(environment)
        request = PromoteRequest(name, _revision(expected_revision), self._session.request_id(request_id))
        reply = self._session.ask(request, PromoteReply)
        text = f'{environment}: revision {reply.revision} accepted for production'
        self._session.print(reply, text, request_id=request.request_id)

    def show(self, environment: str, *, stage: str = 'production') -> None:
        """Print the newest document, as YAML that can be edited and applied.

        Args:
            environment: Name of the environment.
            stage: trial or production.
        """
        target_stage = _stage(stage)
        reply = self._session.ask(ShowRequest(EnvironmentName(environment), target_stage), ShowReply)
        self._session.print(reply, rendering.format_document(reply, environment, target_stage.value))

    def status(self) -> None:
        """Print the status of the node: the document in effect, readiness and links."""
        reply = self._session.ask(StatusRequest(), StatusReply)
        self._session.print(reply, rendering.format_status(reply))

    def upstreams(self) -> None:
        """Print the upstreams that the node knows."""
        reply = self._session.ask(UpstreamsRequest(), UpstreamsReply)
        self._session.print(reply, rendering.format_upstreams(reply))

    def drain(self, upstream: str, *, request_id: str = '') -> None:
        """Give an upstream no new work; its running work may finish.

        Args:
            upstream: Name of the upstream.
            request_id: Repeat it to learn the outcome of a request whose answer was lost.
        """
        request = DrainRequest(UpstreamName(upstream), self._session.request_id(request_id))
        reply = self._session.ask(request, DrainReply)
        self._session.print(reply, f'{upstream}: leaving', request_id=request.request_id)

    def admit(self, host: str, *, request_id: str = '') -> None:
        """Let a host join the control group; it votes once it has all committed entries.

        Args:
            host: Name of the node.
            request_id: Repeat it to learn the outcome of a request whose answer was lost.
        """
        self._change_group(host, 'admitted', request_id)

    def remove(self, host: str, *, request_id: str = '') -> None:
        """Remove a host from the control group.

        Args:
            host: Name of the node.
            request_id: Repeat it to learn the outcome of a request whose answer was lost.
        """
        self._change_group(host, 'removed', request_id)

    def explain(self, request: str, *files: str) -> None:
        """Print the lines of a request in the log files of several processes; ``-`` is standard input."""
        try:
            story = explain(request, files or ('-',))
        except OSError as exc:
            raise UsageError(f'{exc.filename}: {exc.strerror}') from exc
        if not story:
            raise UsageError(f'no log line belongs to request {request}')
        self._session.print({'request': request, 'story': story.splitlines()}, story)

    def version(self) -> None:
        """Print the tool's version."""
        self._session.print({'version': VERSION}, f'basilcove {VERSION}')

    def _change_group(self, host: str, change: str, request_id: str) -> None:
        request = HostRequest(NodeId(host), change == 'admitted', self._session.request_id(request_id))
        reply = self._session.ask(request, HostReply)
        self._session.print(reply, f'{host}: {change}', request_id=request.request_id)


def _load(file: str) -> Environment:
    try:
        text = Path(file).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise UsageError(f'can not read {file}: {exc}') from exc
    environment = documents.load(text)
    if isinstance(environment, DocumentFaults):
        raise RefusedError(tuple(f'{file}: {fault}' for fault in environment.faults))
    return environment


def _write(environment: Environment) -> str:
    try:
        return write_stored(environment)
    except DocumentError as exc:
        raise RefusedError(exc.faults) from exc


def _stage(name: str) -> Stage:
    try:
        return Stage(name)
    except ValueError:
        raise UsageError(f'{name} is not a stage; use trial or production') from None


def _revision(text: str) -> Revision:
    if not text.isdecimal():
        raise UsageError(f'--expected-revision {text} is not a revision')
    return Revision(int(text))
