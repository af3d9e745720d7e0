"""Listeners: addresses, TLS, and what one client may take."""

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
"""Beyond what the library refuses by itself; `web.Handler` refuses earlier."""

OnAnswer = Callable[[RequestHandler], None]


class LimitedServer(HTTPServer):
    """An HTTP server that takes a bounded number of connections.

    Attributes:
      most: Most connections at once.
    """

    most = 0

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serves a connection, or closes it where there are too many."""
        if len(self._connections) >= self.most:
            log.warning('A connection of {} is one too many.', address[0])
            stream.close()
            return
        super().handle_stream(stream, address)


def bind(address: str, field: str) -> socket.socket:
    """Binds a listener's address.

    Raises:
      SettingsError: The address is taken or is not of this host.
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
    """Returns the address of a bound socket."""
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
    is_awaited: bool = True,
) -> None:
    """Serves an application until the stack closes.

    Args:
      stack: What closes the server.
      app: What answers.
      bound: Where to listen.
      limits: What one client may take.
      tls: How connections are secured, or None.
      on_answer: Called after each answer.
      drain: Counts the requests under way.
      is_awaited: Whether a stop waits until no more requests come.
    """
    app.settings[BODY_LIMITS] = BodyLimits(
        limits.body_kb * KIB, limits.buffered_kb * KIB
    )
    app.settings['log_function'] = on_answer
    server = LimitedServer(
        drain.wrap(app, is_awaited),
        ssl_options=tls,
        max_header_size=limits.header_kb * KIB,
        max_body_size=LIBRARY_BODY_LIMIT,
        idle_connection_timeout=limits.idle_seconds,
        body_timeout=limits.body_seconds,
    )
    server.most = limits.connections
    drain.watch(server)
    server.add_socket(bound)
    stack.push_async_callback(server.close_all_connections)
    stack.callback(server.stop)
