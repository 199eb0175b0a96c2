"""Wraps messages in envelopes and checks received envelopes."""

from dataclasses import dataclass

from basilcove.const import PROTOCOL_VERSION
from basilcove.core.events import Message, Peer
from basilcove.core.ids import Incarnation, NodeId, Role, Zone
from basilcove.helpers.codec import decode, encode
from basilcove.rpc import rpc_pb2 as pb
from basilcove.rpc.exceptions import PeerRefusedError
from basilcove.rpc.messages import Heartbeat


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of this process, as sent to its peers."""

    node: NodeId
    roles: tuple[Role, ...]
    incarnation: Incarnation
    zone: Zone

    def wrap(self, msg: Message) -> pb.Envelope:
        """Return an envelope that identifies this process, for a call or for the first message on a link."""
        kind, body = encode(msg)
        return pb.Envelope(
            version=PROTOCOL_VERSION,
            sender=self.node,
            roles=[role.value for role in self.roles],
            incarnation=self.incarnation,
            kind=kind,
            body=body,
        )


def wrap_message(msg: Message) -> pb.Envelope:
    """Return an envelope without a sender, for a link on which both sides are identified."""
    kind, body = encode(msg)
    return pb.Envelope(version=PROTOCOL_VERSION, kind=kind, body=body)


def unwrap(envelope: pb.Envelope) -> Message:
    """Return the message of an envelope; PeerRefusedError for another version."""
    if envelope.version != PROTOCOL_VERSION:
        raise PeerRefusedError(f'{envelope.sender} speaks protocol version {envelope.version}')
    return decode(envelope.kind, envelope.body)


def identify_peer(envelope: pb.Envelope, certificate_name: str | None) -> Peer:
    """Return the peer that the first envelope of a link identifies.

    PeerRefusedError if the first message is not a heartbeat, or if the common
    name of the certificate is not ``roles:node`` of the envelope.
    """
    first = unwrap(envelope)
    if not isinstance(first, Heartbeat):
        raise PeerRefusedError(f'{envelope.sender} began with {envelope.kind}')
    stated_name = '+'.join(envelope.roles) + f':{envelope.sender}'
    if certificate_name is not None and certificate_name != stated_name:
        raise PeerRefusedError(f'certificate of {certificate_name} used by {stated_name}')
    return Peer(
        NodeId(envelope.sender),
        tuple(Role(role) for role in envelope.roles),
        Incarnation(envelope.incarnation),
        Zone(first.zone),
    )
