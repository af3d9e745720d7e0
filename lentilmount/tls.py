"""Builds TLS contexts from settings."""

from __future__ import annotations

import ssl

from lentilmount.errors import FieldProblem, SettingsError
from lentilmount.settings import TlsSettings

_VERSIONS = {
    '1.2': ssl.TLSVersion.TLSv1_2,
    '1.3': ssl.TLSVersion.TLSv1_3,
}
_HTTP2 = ['h2']


def make_server_context(
    tls: TlsSettings, where: str, *, http2: bool = False
) -> ssl.SSLContext:
    """Builds the TLS context of a listener.

    Args:
      tls: Certificate, key and minimum version; with an authority, clients
        must present a certificate that it has signed.
      where: Path of the settings field, for error messages.
      http2: Whether the listener speaks HTTP/2, as gRPC does.

    Raises:
      SettingsError: A file cannot be used.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    _load(context, tls, where)
    if tls.authority:
        context.verify_mode = ssl.CERT_REQUIRED
    if http2:
        context.set_alpn_protocols(_HTTP2)
    return context


def make_peer_context(tls: TlsSettings, where: str) -> ssl.SSLContext:
    """Builds the TLS context for connections to peers.

    Raises:
      SettingsError: A file cannot be used.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    _load(context, tls, where)
    context.set_alpn_protocols(_HTTP2)
    return context


def reload_certificate(context: ssl.SSLContext, tls: TlsSettings) -> None:
    """Loads a renewed certificate; it applies to new connections.

    Raises:
      SettingsError: A file cannot be used.
    """
    _load(context, tls, 'tls')


def _load(context: ssl.SSLContext, tls: TlsSettings, where: str) -> None:
    context.minimum_version = _VERSIONS[tls.minimum_version]
    try:
        context.load_cert_chain(tls.certificate, tls.key)
        if tls.authority:
            context.load_verify_locations(tls.authority)
    except OSError as error:
        problem = FieldProblem(
            where,
            f'cannot be used: {error}',
            'name readable PEM files: a certificate, its key, an authority',
        )
        raise SettingsError(str(problem), fields=(problem,)) from error
