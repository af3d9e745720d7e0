"""HTTP API between the daemons."""

from __future__ import annotations

from collections.abc import Callable

import orjson
from tornado.web import Application

from lentilmount.control.configuration_relay import (
    CONFIGURATION_PATH,
    ConfigurationHandler,
)
from lentilmount.control.peer_handler import PeerHandler
from lentilmount.control.routes import RouteTable
from lentilmount.control.starts_handler import (
    STARTS_PATH,
    MakeWorkerClient,
    StartsHandler,
)
from lentilmount.control.store_health import FindOutageDetector
from lentilmount.control.store_relay import (
    PART_HEADER,
    RELAY_PREFIX,
    TIMEOUT_HEADER,
)
from lentilmount.control.submission_relay import (
    SUBMISSIONS_PATH,
    FindOwner,
    SubmissionsHandler,
)
from lentilmount.platform.calls import StoreCall
from lentilmount.platform.store import READ_SECONDS, PlatformTable
from lentilmount.upstream.http import CURL_ERROR

NO_ANSWER = 504
"""HTTP status for a relayed call without an answer, whose effect is unknown."""


class StoreHandler(PeerHandler):
    """Reports to peers for how long the store has not answered this daemon."""

    def initialize(
        self, find: FindOutageDetector, is_closing: Callable[[], bool]
    ) -> None:
        """Receives the handler's arguments; see `make_peer_api`."""
        self.is_closing = is_closing
        self._find_detector = find

    def get(self) -> None:
        """Answers with the age of the last successful answer."""
        detector = self._find_detector(self.get_query_argument('part'))
        self.finish(orjson.dumps(detector.make_report()))


class RelayHandler(PeerHandler):
    """Relays calls to the store for daemons that it rejects."""

    def initialize(
        self, table: PlatformTable, is_closing: Callable[[], bool]
    ) -> None:
        """Receives the handler's arguments; see `make_peer_api`."""
        self.is_closing = is_closing
        self._table = table

    async def get(self) -> None:
        """Relays a read."""
        await self._relay()

    async def post(self) -> None:
        """Relays a transaction."""
        await self._relay()

    async def _relay(self) -> None:
        # Only directly: relayed once more, a call could loop between daemons.
        call = StoreCall(
            self.request.headers.get(PART_HEADER, ''),
            self.request.method or '',
            (self.request.uri or '').removeprefix(RELAY_PREFIX),
            self.request.body or None,
            int(self.request.headers[TIMEOUT_HEADER]) / 1000,
            READ_SECONDS if self.request.method == 'GET' else None,
        )
        answer = await self._table.send_directly(call)
        is_lost = answer.status == CURL_ERROR
        self.set_status(NO_ANSWER if is_lost else answer.status)
        self.finish(answer.body)


def make_peer_api(
    find: FindOutageDetector,
    table: PlatformTable,
    routes: RouteTable,
    is_closing: Callable[[], bool] = lambda: False,
    make_worker_client: MakeWorkerClient | None = None,
    find_owner: FindOwner = lambda service: None,
) -> Application:
    """Returns the application that serves the other daemons.

    Args:
      find: Returns the outage detector of a part of the store.
      table: Sends the relayed calls to the store.
      routes: The configuration to serve.
      is_closing: Returns whether this daemon is shutting down.
      make_worker_client: Returns the client that sends starts for owners on
        other hosts; None if this daemon sends none.
      find_owner: Returns the owner of a service in this process.
    """
    starts_handler = (
        STARTS_PATH,
        StartsHandler,
        {'make_worker_client': make_worker_client, 'is_closing': is_closing},
    )
    return Application(
        [
            *([starts_handler] if make_worker_client else []),
            (
                '/store',
                StoreHandler,
                {'find': find, 'is_closing': is_closing},
            ),
            (
                RELAY_PREFIX + '/.*',
                RelayHandler,
                {'table': table, 'is_closing': is_closing},
            ),
            (
                SUBMISSIONS_PATH,
                SubmissionsHandler,
                {'find_owner': find_owner, 'is_closing': is_closing},
            ),
            (
                CONFIGURATION_PATH,
                ConfigurationHandler,
                {'routes': routes, 'is_closing': is_closing},
            ),
        ],
        log_function=lambda handler: None,
    )
