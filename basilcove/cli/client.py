"""Sends a request to nodes in turn until one answers."""

import contextlib
import getpass
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final, TypeVar

import grpc

from basilcove.cli.const import CALL_TIMEOUT_S, ROUNDS
from basilcove.cli.exceptions import UnreachableError, UsageError
from basilcove.cli.messages import Reply
from basilcove.const import MICROSECONDS_PER_S
from basilcove.core.events import Message
from basilcove.core.ids import Incarnation, NodeId, Role, Zone
from basilcove.helpers.codec import CodecError
from basilcove.rpc import rpc_pb2 as pb
from basilcove.rpc.const import MAX_ENVELOPE_BYTES
from basilcove.rpc.envelopes import Identity, unwrap
from basilcove.rpc.exceptions import PeerRefusedError

ReplyT = TypeVar('ReplyT', bound=Reply)

_METHOD: Final = '/basilcove.rpc.Operator/Call'
_CHANNEL_OPTIONS: Final = (
    ('grpc.max_receive_message_length', MAX_ENVELOPE_BYTES),
    ('grpc.max_send_message_length', MAX_ENVELOPE_BYTES),
)


@dataclass(frozen=True, slots=True)
class Security:
    """PEM files for mutual TLS; none of them for plain text."""

    certificate: Path | None = None
    key: Path | None = None
    authority: Path | None = None

    def load_credentials(self) -> grpc.ChannelCredentials | None:
        """Return the channel's credentials, or None for plain text."""
        if self.certificate is None or self.key is None or self.authority is None:
            return None
        try:
            return grpc.ssl_channel_credentials(
                self.authority.read_bytes(), self.key.read_bytes(), self.certificate.read_bytes()
            )
        except OSError as exc:
            raise UsageError(f'can not read {exc.filename}: {exc.strerror}') from exc


class Client:
    """Client of nodes, which all can answer the same request."""

    def __init__(self, nodes: tuple[str, ...], security: Security) -> None:
        """Use nodes at these addresses, ``host:port``, in this order."""
        self._nodes = nodes
        self._credentials = security.load_credentials()
        incarnation = Incarnation(int(time.time() * MICROSECONDS_PER_S))
        self._identity = Identity(NodeId(user_name()), (Role.OPERATOR,), incarnation, Zone(''))

    def ask(self, request: Message, reply_type: type[ReplyT]) -> ReplyT:
        """Return the first reply; UnreachableError with the cause of each failure.

        A node whose answer is lost may have executed the request. The next node
        gets the same request id, so no request is executed twice.
        """
        failures: dict[str, str] = {}
        for node in self._nodes * ROUNDS:
            reply = self._try(node, request)
            if isinstance(reply, reply_type) and not reply.unavailable:
                return reply
            failures[node] = _describe_failure(reply)
        causes = '; '.join(f'{address}: {cause}' for address, cause in failures.items())
        raise UnreachableError(f'no node answered ({causes})')

    def _try(self, node: str, request: Message) -> Message | str:
        """Return the node's answer, or the cause of a failure."""
        with self._channel(node) as channel:
            call = channel.unary_unary(
                _METHOD,
                request_serializer=pb.Envelope.SerializeToString,
                response_deserializer=pb.Envelope.FromString,
            )
            try:
                return unwrap(call(self._identity.wrap(request), timeout=CALL_TIMEOUT_S))
            except grpc.RpcError as exc:
                return _cause(exc)
            except (CodecError, PeerRefusedError) as exc:
                return str(exc)

    @contextlib.contextmanager
    def _channel(self, node: str) -> Iterator[grpc.Channel]:
        if self._credentials is None:
            channel = grpc.insecure_channel(node, options=_CHANNEL_OPTIONS)
        else:
            channel = grpc.secure_channel(node, self._credentials, options=_CHANNEL_OPTIONS)
        try:
            yield channel
        finally:
            channel.close()


def _describe_failure(reply: Message | str) -> str:
    if isinstance(reply, str):
        return reply
    if isinstance(reply, Reply) and reply.unavailable:
        return '; '.join(reply.reasons) or 'could not answer'
    return f'answered with {type(reply).__name__}'


def _cause(exc: grpc.RpcError) -> str:
    if not isinstance(exc, grpc.Call):
        return str(exc)
    return f'{exc.code().name.lower()} ({exc.details()})'


def user_name() -> str:
    """Return the name of the operator's account."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return 'operator'
