"""Tracks requests in flight on the HTTP listeners, for a graceful shutdown.

A request counts from its header to the end of its answer, including the time
in which its body is received and its answer is sent. Counting only calls to
upstreams would miss both phases, and a shutdown would abort such requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from tornado import httputil
from tornado.httpserver import HTTPServer

POLL_SECONDS = 0.02


class _RequestObserver(httputil.HTTPMessageDelegate):
    """Forwards a request's events and reports when its header arrived."""

    def __init__(
        self,
        inner: httputil.HTTPMessageDelegate,
        begin_request: Callable[[], None],
    ):
        self._inner = inner
        self._begin_request = begin_request

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """See the base class."""
        self._begin_request()
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """See the base class."""
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        """See the base class."""
        self._inner.finish()

    def on_connection_close(self) -> None:
        """See the base class."""
        self._inner.on_connection_close()


class _TrackedApplication(httputil.HTTPServerConnectionDelegate):
    """Wraps an application and counts its requests in flight."""

    def __init__(
        self,
        inner: httputil.HTTPServerConnectionDelegate,
        drain: Drain,
        delays_stop: bool,
    ):
        self._inner = inner
        self._drain = drain
        self._delays_stop = delays_stop

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """See the base class; the connection's previous request has ended."""
        self._drain.end_request(server_conn)
        delegate = self._inner.start_request(server_conn, request_conn)

        def begin_request() -> None:
            self._drain.begin_request(server_conn, self._delays_stop)

        return _RequestObserver(delegate, begin_request)

    def on_close(self, server_conn: object) -> None:
        """See the base class."""
        self._drain.end_request(server_conn)
        self._inner.on_close(server_conn)


class Drain:
    """Counts requests in flight and waits until there are none.

    Args:
      monotonic: The clock for durations.
    """

    def __init__(self, monotonic: Callable[[], float]):
        self._monotonic = monotonic
        self._active_connections: set[object] = set()
        self._servers: list[HTTPServer] = []
        self._last_request_at = float('-inf')

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return len(self._active_connections)

    def begin_request(self, connection: object, delays_stop: bool) -> None:
        """Records that a request began on a connection.

        Args:
          connection: The connection.
          delays_stop: See `wrap`.
        """
        self._active_connections.add(connection)
        if delays_stop:
            self._last_request_at = self._monotonic()

    def end_request(self, connection: object) -> None:
        """Records that a connection has no request in flight."""
        self._active_connections.discard(connection)

    def wrap(
        self,
        app: httputil.HTTPServerConnectionDelegate,
        delays_stop: bool,
    ) -> httputil.HTTPServerConnectionDelegate:
        """Returns an application whose requests are counted.

        Args:
          app: The application.
          delays_stop: Whether a stop waits until no more requests arrive. False
            for health checks and scrapes of metrics, which never cease.
        """
        return _TrackedApplication(app, self, delays_stop)

    def add_server(self, server: HTTPServer) -> None:
        """Registers a server for `refuse_keep_alive`."""
        self._servers.append(server)

    def refuse_keep_alive(self) -> None:
        """Makes every further answer close its connection.

        A load balancer with open connections would keep using them, and its
        requests would fail with a reset when the process ends. After
        `Connection: close` it opens the next connection to another daemon.
        """
        for server in self._servers:
            server.conn_params.no_keep_alive = True

    async def wait_idle(self, seconds: float) -> None:
        """Waits until no request is in flight and none began recently.

        Args:
          seconds: Minimum time since the last request that delays a stop
            began.
        """
        while True:
            is_idle = self._monotonic() - self._last_request_at >= seconds
            if is_idle and not self._active_connections:
                return
            await asyncio.sleep(POLL_SECONDS)
