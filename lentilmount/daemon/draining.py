"""Requests under way on the HTTP listeners, and how a stop ends them.

A request counts from its header to the end of its answer, also while its
body arrives or its answer leaves. Counting calls to upstreams would miss
both, and a stop would cut them off.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from tornado import httputil
from tornado.httpserver import HTTPServer

LOOK_SECONDS = 0.02


class _Watcher(httputil.HTTPMessageDelegate):
    """Passes a request on, and notes when it begins."""

    def __init__(
        self, inner: httputil.HTTPMessageDelegate, begin: Callable[[], None]
    ):
        self._inner = inner
        self._begin = begin

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """See the base class."""
        self._begin()
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


class _WatchedApplication(httputil.HTTPServerConnectionDelegate):
    """Serves as another application does, and counts its requests."""

    def __init__(
        self,
        inner: httputil.HTTPServerConnectionDelegate,
        drain: Drain,
        is_awaited: bool,
    ):
        self._inner = inner
        self._drain = drain
        self._is_awaited = is_awaited

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """See the base class; called when the one before has ended."""
        self._drain.end(server_conn)
        delegate = self._inner.start_request(server_conn, request_conn)

        def begin() -> None:
            self._drain.begin(server_conn, self._is_awaited)

        return _Watcher(delegate, begin)

    def on_close(self, server_conn: object) -> None:
        """See the base class."""
        self._drain.end(server_conn)
        self._inner.on_close(server_conn)


class Drain:
    """Knows the requests under way, and waits for their end.

    Args:
      monotonic: The clock for durations.
    """

    def __init__(self, monotonic: Callable[[], float]):
        self._monotonic = monotonic
        self._busy: set[object] = set()
        self._servers: list[HTTPServer] = []
        self._last_began = float('-inf')

    @property
    def in_flight(self) -> int:
        """How many requests are under way."""
        return len(self._busy)

    def begin(self, connection: object, is_awaited: bool) -> None:
        """Notes that a request began on a connection; see `wrap`."""
        self._busy.add(connection)
        if is_awaited:
            self._last_began = self._monotonic()

    def end(self, connection: object) -> None:
        """Notes that a connection has no request under way."""
        self._busy.discard(connection)

    def wrap(
        self,
        app: httputil.HTTPServerConnectionDelegate,
        is_awaited: bool,
    ) -> httputil.HTTPServerConnectionDelegate:
        """Returns an application whose requests are counted.

        Args:
          app: The application.
          is_awaited: Whether a stop waits until no more requests come. The
            balancer asks for the health and the metrics for ever.
        """
        return _WatchedApplication(app, self, is_awaited)

    def watch(self, server: HTTPServer) -> None:
        """Adds a server whose connections end when a stop begins."""
        self._servers.append(server)

    def refuse_keep_alive(self) -> None:
        """Makes every further answer end its connection.

        A balancer that keeps connections open would go on sending on them
        and meet a reset when the process ends. With `Connection: close` it
        opens the next connection elsewhere.
        """
        for server in self._servers:
            server.conn_params.no_keep_alive = True

    async def wait_quiet(self, seconds: float) -> None:
        """Waits until no request is under way and none began lately.

        Args:
          seconds: For how long none must have begun.
        """
        while True:
            quiet = self._monotonic() - self._last_began >= seconds
            if quiet and not self._busy:
                return
            await asyncio.sleep(LOOK_SECONDS)
