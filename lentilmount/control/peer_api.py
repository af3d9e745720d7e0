"""What daemons ask each other."""

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
from lentilmount.control.store_health import FindOutageDetector
from lentilmount.control.store_relay import (
    PART_HEADER,
    RELAY_PREFIX,
    TIMEOUT_HEADER,
)
from lentilmount.platform.calls import StoreCall
from lentilmount.platform.store import READ_SECONDS, PlatformTable
from lentilmount.upstream.http import CURL_ERROR

NO_ANSWER = 504
"""HTTP status for a call whose effect is not known."""


class StoreHandler(PeerHandler):
    """Tells other daemons how long the store has not answered here."""

    def initialize(
        self, find: FindOutageDetector, is_closing: Callable[[], bool]
    ) -> None:
        """Takes what it tells of."""
        self.is_closing = is_closing
        self._find = find

    def get(self) -> None:
        """Answers with the age of the last good answer."""
        outage = self._find(self.get_query_argument('part'))
        self.finish(orjson.dumps(outage.make_report()))


class RelayHandler(PeerHandler):
    """Sends calls to the store for daemons that it turns away."""

    def initialize(
        self, table: PlatformTable, is_closing: Callable[[], bool]
    ) -> None:
        """Takes what it calls the store with."""
        self.is_closing = is_closing
        self._table = table

    async def get(self) -> None:
        """Sends a reading."""
        await self._relay()

    async def post(self) -> None:
        """Sends a transaction."""
        await self._relay()

    async def _relay(self) -> None:
        # Directly only: sent on once more, a call could go round for ever.
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
) -> Application:
    """Builds what other daemons ask.

    Args:
      find: Finds what is known of a part of the store.
      table: Sends calls to the store for others.
      routes: The configuration that is passed on.
      is_closing: Whether this daemon is being stopped.
    """
    return Application(
        [
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
                CONFIGURATION_PATH,
                ConfigurationHandler,
                {'routes': routes, 'is_closing': is_closing},
            ),
        ],
        log_function=lambda handler: None,
    )
