"""Shared key and mutual TLS of the gRPC services."""

import hmac
import pathlib

import grpc
import grpc.aio

from tanagerspoke import exceptions
from tanagerspoke.settings import options

_KEY_METADATA_NAME = "tanagerspoke-key"

# Without these limits gRPC waits up to two minutes before it reconnects to a
# process that restarted.
_CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
)


def ignore_rejection(reason: str) -> None:
    """Ignores the reason why a message was rejected."""
    del reason


def call_metadata(shared_key: str) -> tuple[tuple[str, str], ...]:
    """Returns the call metadata that carries the shared key."""
    return ((_KEY_METADATA_NAME, shared_key),)


def create_channel(*, target: str, tls: options.Tls | None) -> grpc.aio.Channel:
    """Returns a channel; it connects when first used.

    Raises:
        SettingsError: a TLS file is unreadable.
    """
    if tls is None:
        return grpc.aio.insecure_channel(target, options=_CHANNEL_OPTIONS)
    credentials = grpc.ssl_channel_credentials(
        root_certificates=_read_file(tls.authority_file),
        private_key=_read_file(tls.private_key_file),
        certificate_chain=_read_file(tls.certificate_file),
    )
    return grpc.aio.secure_channel(
        target, credentials, options=_CHANNEL_OPTIONS
    )


def add_port(
    *,
    server: grpc.aio.Server,
    listen: options.Endpoint,
    tls: options.Tls | None,
) -> None:
    """Adds a port to a server that is not started.

    Raises:
        SettingsError: a TLS file is unreadable.
    """
    target = f"{listen.address}:{listen.port}"
    if tls is None:
        server.add_insecure_port(target)
        return
    key_pair = (
        _read_file(tls.private_key_file),
        _read_file(tls.certificate_file),
    )
    server.add_secure_port(
        target,
        grpc.ssl_server_credentials(
            [key_pair],
            root_certificates=_read_file(tls.authority_file),
            require_client_auth=True,
        ),
    )


def has_shared_key(context: grpc.aio.ServicerContext, shared_key: str) -> bool:
    """Returns whether a call's metadata carries the shared key."""
    received = dict(context.invocation_metadata() or ())
    key = str(received.get(_KEY_METADATA_NAME, ""))
    return hmac.compare_digest(key.encode(), shared_key.encode())


def _read_file(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise exceptions.SettingsError(f"{path}: {exc.strerror}") from exc
