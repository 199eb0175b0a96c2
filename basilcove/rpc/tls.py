"""TLS credentials of servers and channels, and names in certificates."""

import grpc

from basilcove.core.ids import Role
from basilcove.rpc.config import RpcConfig, TlsConfig
from basilcove.rpc.const import MAX_ENVELOPE_BYTES
from basilcove.rpc.seeds import Seed


def server_credentials(tls: TlsConfig) -> grpc.ServerCredentials:
    """Return credentials that require a client certificate from the same authority."""
    return grpc.ssl_server_credentials(
        [(tls.key.read_bytes(), tls.certificate.read_bytes())],
        root_certificates=tls.authority.read_bytes(),
        require_client_auth=True,
    )


def open_channel(cfg: RpcConfig, seed: Seed) -> grpc.aio.Channel:
    """Open a separate channel to a seed.

    The local subchannel pool gives each channel a new TCP connection, so that
    a reconnect never reuses a silent connection. With TLS, the server's
    certificate must contain the DNS name ``roles.node`` of the seed.
    """
    options: list[tuple[str, str | int]] = [
        ('grpc.use_local_subchannel_pool', 1),
        ('grpc.max_receive_message_length', MAX_ENVELOPE_BYTES),
    ]
    if cfg.tls is None:
        return grpc.aio.insecure_channel(seed.address, options=options)
    options.append(('grpc.ssl_target_name_override', seed.server_name))
    credentials = grpc.ssl_channel_credentials(
        root_certificates=cfg.tls.authority.read_bytes(),
        private_key=cfg.tls.key.read_bytes(),
        certificate_chain=cfg.tls.certificate.read_bytes(),
    )
    return grpc.aio.secure_channel(seed.address, credentials, options=options)


def peer_common_name(context: grpc.aio.ServicerContext) -> str | None:
    """Return the common name of the client's certificate; None without TLS."""
    names = context.auth_context().get('x509_common_name')
    return names[0].decode() if names else None


def is_operator(common_name: str | None) -> bool:
    """Return whether the holder of a certificate may make operator calls; always true without TLS.

    Nodes may, because they forward operator calls to other nodes.
    """
    if common_name is None:
        return True
    roles = common_name.partition(':')[0].split('+')
    return all(role in {role_member.value for role_member in Role} for role in roles)
