"""The TLS contexts of all listeners."""

from __future__ import annotations

import ssl

from lentilmount.settings import LISTENERS, ListenerTlsSettings
from lentilmount.tls import (
    make_peer_context,
    make_server_context,
    reload_certificate,
)


class Security:
    """Holds the TLS contexts of listeners and of calls to peers.

    Attributes:
      servers: TLS context of each listener, by its name; None without TLS.
      peer_client: TLS context of calls to peers; None without TLS.

    Raises:
      SettingsError: A certificate, key or authority cannot be used.
    """

    def __init__(self, settings: ListenerTlsSettings):
        self._settings = settings
        self.servers: dict[str, ssl.SSLContext | None] = {}
        for name in LISTENERS:
            tls = getattr(settings, name)
            self.servers[name] = tls and make_server_context(
                tls, f'tls.{name}', http2=name == 'peers'
            )
        self.peer_client: ssl.SSLContext | None = None
        if settings.peers is not None:
            self.peer_client = make_peer_context(settings.peers, 'tls.peers')

    def reload_certificates(self) -> None:
        """Loads the certificates again, for new connections.

        Raises:
          SettingsError: A file cannot be used; other certificates may already
            be reloaded.
        """
        for name, context in self.servers.items():
            if context is not None:
                reload_certificate(context, getattr(self._settings, name))
        if self.peer_client is not None and self._settings.peers is not None:
            reload_certificate(self.peer_client, self._settings.peers)
