"""Passing the configuration on to hosts with small links.

Load pattern: each version of the configuration is one row, which grows with
the routes. 3,000 of them take 1.3 s on a link of 5 Mbit/s alone, and several
times that beside clients and other calls after an outage, while hosts with
larger links have them in 0.1 s. A host with a small link follows one of those
in its availability zone, which sends it compressed.
"""

from __future__ import annotations

import functools
import math
import urllib.parse
import zlib
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs
import logbook

from lentilmount.control.peer_handler import PeerHandler
from lentilmount.control.routes import RouteTable
from lentilmount.platform.host_settings import Capacity
from lentilmount.platform.store import (
    CONFIGURATION_KEY,
    READ_SECONDS,
    RawRow,
)
from lentilmount.upstream.http import HttpClient, HttpResponse

log = logbook.Logger('configuration')

CONFIGURATION_PATH = '/configuration'

VERSION_HEADER = 'Lentilmount-Version'
"""Version of the row in the body."""

POSITION_HEADER = 'Lentilmount-Position'
"""Version of the store up to which the sender knows all changes."""

AS_OF_HEADER = 'Lentilmount-As-Of-Ms'
"""When the sender knew of no newer row, in ms after the request came."""

LINK_FACTOR = 4.0
"""How much larger the link of a host is that another one follows."""

MOST_WAIT_SECONDS = 2.0
"""Longest time for which a request waits for a newer row."""

ANSWER_SECONDS = 0.4
"""For an answer, beside the time that it may wait."""

AVOID_SECONDS = 3.0
"""For how long a daemon that failed is not asked again."""

COMPRESSION_LEVEL = 1


@functools.lru_cache(maxsize=1)
def _compress(value: bytes) -> bytes:
    return zlib.compress(value, COMPRESSION_LEVEL)


class ConfigurationHandler(PeerHandler):
    """Tells another daemon of a newer configuration, or that there is none."""

    def initialize(
        self, routes: RouteTable, is_closing: Callable[[], bool]
    ) -> None:
        """Takes what it tells of."""
        self.is_closing = is_closing
        self._routes = routes

    async def get(self) -> None:
        """Answers once there is a newer row, or after the time to wait."""
        arrived_at = self._routes.monotonic()
        after = int(self.get_query_argument('after'))
        wait = int(self.get_query_argument('wait_ms')) / 1000
        await self._routes.wait_for_newer(after, min(wait, MOST_WAIT_SECONDS))
        row = self._routes.row
        if row is None or self.is_closing():
            self.refuse()
            return
        as_of_ms = 1000 * (self._routes.as_of - arrived_at)
        self.set_header(AS_OF_HEADER, str(math.floor(as_of_ms)))
        self.set_header(POSITION_HEADER, str(self._routes.position))
        if row.version > after:
            self.set_header(VERSION_HEADER, str(row.version))
            self.write(_compress(row.value))


@attrs.frozen
class PeerConfiguration:
    """What another daemon told of the configuration.

    Attributes:
      row: A row newer than the one that was known, if there is one.
      position: Version of the store up to which changes are known.
      as_of: Monotonic time at which there was no newer one.
    """

    row: RawRow | None
    position: int
    as_of: float


@attrs.define
class ConfigurationSources:
    """The daemons from which this one takes the configuration.

    Attributes:
      host: Name of this host.
      zone: Its availability zone.
      capacity: What it has.
      caller: Sends calls to them.
      monotonic: The clock for durations.
    """

    host: str
    zone: str
    capacity: Capacity
    caller: HttpClient
    monotonic: Callable[[], float]
    _known: tuple[str, ...] = ()
    _failed_at: dict[str, float] = attrs.Factory(dict)
    _followed: str = ''

    def update(self, announcements: Iterable[Mapping[str, Any]]) -> None:
        """Takes in what the other daemons have announced.

        Hosts of a zone spread over its larger ones by a hash of both.
        """
        least = LINK_FACTOR * self.capacity.link_mbps
        addresses = [
            body['address']
            for body in announcements
            if body.get('zone') == self.zone
            and body.get('link_mbps', 0.0) >= least
        ]
        self._known = tuple(sorted(addresses, key=self._rank))

    def _rank(self, address: str) -> int:
        return zlib.crc32(f'{self.host} {address}'.encode())

    def choose(self) -> str:
        """Returns the address of the one to ask now, or ''."""
        now = self.monotonic()
        for address in self._known:
            failed_at = self._failed_at.get(address, -math.inf)
            if now - failed_at > AVOID_SECONDS:
                return address
        return ''

    async def read(self, after: int, wait: float) -> PeerConfiguration | None:
        """Asks for a row newer than a version; None if nobody could tell.

        Args:
          after: Version of the row that is known.
          wait: Seconds to wait for a newer one.
        """
        while address := self.choose():
            self._log_change(address)
            reading = await self._ask(address, after, wait)
            if reading is not None:
                return reading
            self._failed_at[address] = self.monotonic()
        self._log_change('')
        return None

    async def _ask(
        self, address: str, after: int, wait: float
    ) -> PeerConfiguration | None:
        query = {'after': after, 'wait_ms': int(1000 * wait)}
        sent_at = self.monotonic()
        answer = await self.caller.call(
            'GET',
            f'{CONFIGURATION_PATH}?{urllib.parse.urlencode(query)}',
            timeout=wait + ANSWER_SECONDS,
            total_timeout=READ_SECONDS,
            base=f'http://{address}',
        )
        try:
            return _decode(answer, sent_at)
        except (KeyError, ValueError, zlib.error) as error:
            log.warning(
                'Cannot take the configuration from another daemon: {!r}',
                error,
                extra={'daemon': address, 'status': answer.status},
            )
        return None

    def _log_change(self, address: str) -> None:
        if address != self._followed:
            self._followed = address
            origin = 'another daemon' if address else 'the store'
            log.info(
                'Takes the configuration from {}.',
                origin,
                extra={'daemon': address},
            )


def _decode(answer: HttpResponse, sent_at: float) -> PeerConfiguration:
    """Decodes an answer of `ConfigurationHandler`.

    Raises:
      KeyError, ValueError, zlib.error: It is none, or cannot be read.
    """
    if answer.status != 200:
        raise ValueError(answer.body[:200].decode(errors='replace'))
    row = None
    if VERSION_HEADER in answer.headers:
        version = int(answer.headers[VERSION_HEADER])
        value = zlib.decompress(answer.body)
        row = RawRow(CONFIGURATION_KEY, value, version)
    # The request came after it was sent, so this is no later than it was.
    as_of = sent_at + int(answer.headers[AS_OF_HEADER]) / 1000
    return PeerConfiguration(row, int(answer.headers[POSITION_HEADER]), as_of)
