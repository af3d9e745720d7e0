"""HTTP listeners: addresses, TLS, and limits on clients."""

from __future__ import annotations

import contextlib
import socket
import ssl
from collections.abc import Callable
from typing import Any

import logbook
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from lentilmount.daemon.bodies import BODY_LIMITS, BodyLimits
from lentilmount.daemon.draining import Drain
from lentilmount.errors import FieldProblem, SettingsError
from lentilmount.settings import LimitSettings

log = logbook.Logger('http')

KIB = 1024

LIBRARY_BODY_LIMIT = 2**40
"""Disables tornado's own limit on bodies; `web.Handler` applies a lower one."""

OnAnswer = Callable[[RequestHandler], None]


class LimitedServer(HTTPServer):
    """An HTTP server with a bounded number of connections.

    Attributes:
      max_connections: Maximum number of open connections.
    """

    max_connections = 0

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serves a connection, or closes it at the connection limit."""
        if len(self._connections) >= self.max_connections:
            log.warning(
                'A connection from {} exceeds the limit and is closed.',
                address[0],
            )
            stream.close()
            return
        super().handle_stream(stream, address)


def bind(address: str, field: str) -> socket.socket:
    """Binds a listener's address.

    Raises:
      SettingsError: The address is in use or does not belong to this host.
    """
    host, _, port = address.rpartition(':')
    try:
        (found,) = bind_sockets(int(port), host.strip('[]'))
    except OSError as error:
        problem = FieldProblem(
            field,
            f'{address} cannot be used: {error.strerror}',
            'choose another address, or port 0 to let the system choose',
        )
        raise SettingsError(str(problem), fields=(problem,)) from error
    return found


def name_address(bound: socket.socket) -> str:
    """Returns the address of a bound socket, as host:port."""
    host, port = bound.getsockname()[:2]
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'


def serve(
    stack: contextlib.AsyncExitStack,
    app: Application,
    bound: socket.socket,
    limits: LimitSettings,
    tls: ssl.SSLContext | None,
    on_answer: OnAnswer,
    drain: Drain,
    *,
    delays_stop: bool = True,
) -> None:
    """Serves an application until the stack closes.

    Args:
      stack: Closes the server when it closes.
      app: The application.
      bound: The bound socket to listen on.
      limits: Limits on connections, headers, bodies and idle time.
      tls: TLS context of the connections, or None.
      on_answer: Called with the handler after each answer.
      drain: Counts the requests in flight.
      delays_stop: Whether a stop waits until no more requests arrive.
    """
    app.settings[BODY_LIMITS] = BodyLimits(
        limits.body_kb * KIB, limits.buffered_kb * KIB
    )
    app.settings['log_function'] = on_answer
    server = LimitedServer(
        drain.wrap(app, delays_stop),
        ssl_options=tls,
        max_header_size=limits.header_kb * KIB,
        max_body_size=LIBRARY_BODY_LIMIT,
        idle_connection_timeout=limits.idle_seconds,
        body_timeout=limits.body_seconds,
    )
    server.max_connections = limits.connections
    drain.add_server(server)
    server.add_socket(bound)
    stack.push_async_callback(server.close_all_connections)
    stack.callback(server.stop)
