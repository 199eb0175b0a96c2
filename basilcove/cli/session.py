"""What the commands of the operators' tool share: calls of a node, request ids and output."""

import os
import sys
import uuid
from pathlib import Path
from typing import TypeVar

from basilcove.cli import rendering
from basilcove.cli.client import Client, Security
from basilcove.cli.const import NODES_VARIABLE
from basilcove.cli.exceptions import RefusedError, UsageError
from basilcove.cli.messages import Reply
from basilcove.core.events import Message
from basilcove.core.ids import RequestId

ReplyT = TypeVar('ReplyT', bound=Reply)


class Session:
    """Options of one run of the tool; ``files`` are the PEM files by option, empty if not given."""

    def __init__(self, node: str, json: bool, insecure: bool, files: dict[str, str]) -> None:
        """Store the options; addresses default to those of the environment variable."""
        addresses = node or os.environ.get(NODES_VARIABLE, '')
        self._nodes = tuple(filter(None, addresses.split(',')))
        self._json = json
        self._insecure = insecure
        self._files = files

    def ask(self, request: Message, reply_type: type[ReplyT]) -> ReplyT:
        """Return the reply of the first node that answers; RefusedError if it refused."""
        reply = self._client().ask(request, reply_type)
        if not reply.accepted:
            raise RefusedError(reply.reasons or ('the node gave no reason',), reply)
        return reply

    def request_id(self, given: str) -> RequestId:
        """Return the given request id, or a new one, which is printed."""
        if given:
            return RequestId(given)
        # Printed before the request is sent, so that it is known even if no answer comes.
        generated = RequestId(uuid.uuid4().hex)
        sys.stderr.write(f'request id: {generated}\n')
        return generated

    def print(self, source: object, text: str, **more: object) -> None:
        """Print the source as JSON if that was asked for, else the text."""
        output = rendering.to_json(source, **more) if self._json else text
        sys.stdout.write(f'{output}\n')

    def _client(self) -> Client:
        if not self._nodes:
            raise UsageError(f'name a node with --node HOST:PORT or in {NODES_VARIABLE}')
        paths = [Path(name) for name in self._files.values() if name]
        is_mutual = len(paths) == len(self._files) and not self._insecure
        is_plain = self._insecure and not paths
        if not (is_mutual or is_plain):
            raise UsageError(f'give either --insecure or all of {", ".join(self._files)}')
        return Client(self._nodes, Security(*paths))
