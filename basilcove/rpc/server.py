"""gRPC server for links from peers and calls by operators."""

import asyncio
from collections.abc import Callable
from typing import Self
from uuid import uuid4

import grpc
from loguru import logger

from basilcove.core.events import Event, Message
from basilcove.exceptions import BasilcoveError
from basilcove.rpc import rpc_pb2 as pb
from basilcove.rpc import rpc_pb2_grpc
from basilcove.rpc.config import RpcConfig
from basilcove.rpc.const import CONNECT_TIMEOUT_S, MAX_ENVELOPE_BYTES, OPERATOR_CALL_TIMEOUT_S
from basilcove.rpc.envelopes import identify_peer, unwrap
from basilcove.rpc.events import CallId, OperatorCalled
from basilcove.rpc.exceptions import LinkError
from basilcove.rpc.links import LinkTable
from basilcove.rpc.messages import Heartbeat
from basilcove.rpc.tls import is_operator, peer_common_name, server_credentials

_STOP_GRACE_S = 0.5


class NodeServicer(rpc_pb2_grpc.NodeServicer):  # type: ignore[misc]
    """Accepts links."""

    def __init__(self, table: LinkTable) -> None:
        """Register accepted links in this table."""
        self._table = table

    async def Link(self, _: object, context: grpc.aio.ServicerContext) -> None:
        """Exchange envelopes until the peer disconnects or is silent."""
        try:
            await self._accept(context)
        except (BasilcoveError, TimeoutError) as exc:
            logger.info('link from {} ended: {}', context.peer(), exc)
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, str(exc))

    async def _accept(self, context: grpc.aio.ServicerContext) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            first = await context.read()
        if not isinstance(first, pb.Envelope):
            raise LinkError('the peer closed the link at once')
        peer = identify_peer(first, peer_common_name(context))
        await context.write(self._table.identity.wrap(Heartbeat(self._table.identity.zone)))
        await self._table.run(peer, context)


class OperatorServicer(rpc_pb2_grpc.OperatorServicer):  # type: ignore[misc]
    """Passes operator calls to the reducer and waits for its replies; the driver of ``Reply``."""

    def __init__(self, table: LinkTable, apply: Callable[[Event], object]) -> None:
        """Pass calls to ``apply``, on the loop's thread."""
        self._table = table
        self._apply = apply
        self._pending: dict[CallId, asyncio.Future[Message]] = {}

    async def Call(self, envelope: pb.Envelope, context: grpc.aio.ServicerContext) -> pb.Envelope:
        """Answer one call of an operator's tool."""
        name = peer_common_name(context)
        if not is_operator(name):
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, f'{name} is no operator')
        call_id = CallId(uuid4().hex)
        fut: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._pending[call_id] = fut
        try:
            self._apply(OperatorCalled(call_id, unwrap(envelope)))
            async with asyncio.timeout(OPERATOR_CALL_TIMEOUT_S):
                msg = await fut
        except BasilcoveError as exc:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(exc))
        except TimeoutError:
            await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, 'no decision in time; outcome unknown')
        finally:
            self._pending.pop(call_id, None)
        return self._table.identity.wrap(msg)

    def reply(self, call_id: CallId, msg: Message) -> None:
        """Answer a pending call; ignored if it has ended."""
        fut = self._pending.get(call_id)
        if fut is not None and not fut.done():
            fut.set_result(msg)


class RpcServer:
    """The gRPC server of one process."""

    def __init__(self, cfg: RpcConfig, table: LinkTable, operators: OperatorServicer) -> None:
        """Store the settings; ``setup`` binds the address."""
        self._cfg = cfg
        self._table = table
        self._operators = operators
        self._server: grpc.aio.Server | None = None
        self._link_checks: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, cfg: RpcConfig, table: LinkTable, operators: OperatorServicer) -> Self:
        """Build the server of a node."""
        return cls(cfg, table, operators)

    async def setup(self) -> None:
        """Bind and serve; LinkError if the address is in use."""
        server = grpc.aio.server(
            options=[('grpc.so_reuseport', 0), ('grpc.max_receive_message_length', MAX_ENVELOPE_BYTES)],
        )
        rpc_pb2_grpc.add_NodeServicer_to_server(NodeServicer(self._table), server)
        rpc_pb2_grpc.add_OperatorServicer_to_server(self._operators, server)
        try:
            self._bind(server)
        except RuntimeError as exc:
            raise LinkError(f'cannot listen on {self._cfg.listen}: {exc}') from exc
        await server.start()
        self._server = server
        self._link_checks = asyncio.create_task(self._table.keep_alive())

    async def unload(self) -> None:
        """Close all links and stop serving."""
        if self._link_checks is not None:
            self._link_checks.cancel()
        self._table.close_all()
        if self._server is not None:
            await self._server.stop(_STOP_GRACE_S)

    def _bind(self, server: grpc.aio.Server) -> None:
        if self._cfg.tls is None:
            server.add_insecure_port(self._cfg.listen)
        else:
            server.add_secure_port(self._cfg.listen, server_credentials(self._cfg.tls))
