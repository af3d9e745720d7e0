"""Serves the configuration to hosts with small network links.

Load pattern: each version of the configuration is one row, which grows with the
number of routes. 3,000 routes take 1.3 s on an idle link of 5 Mbit/s, and
several times that beside clients and other calls after an outage; hosts with
larger links read them in 0.1 s. A host with a small link reads the
configuration from one of those in its availability zone, compressed.
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
from lentilmount.upstream.http import CallKind, HttpClient, HttpResponse

log = logbook.Logger('configuration')

CONFIGURATION_PATH = '/configuration'

VERSION_HEADER = 'Lentilmount-Version'
"""Header: version of the row in the body."""

POSITION_HEADER = 'Lentilmount-Position'
"""Header: version of the store up to which the sender knows all changes."""

AS_OF_HEADER = 'Lentilmount-As-Of-Ms'
"""Header: latest time at which the sender knew that there was no newer row, in
milliseconds after it received the request; negative for an earlier time."""

MIN_LINK_RATIO = 4.0
"""Least ratio of a source's link bandwidth to that of the host it serves."""

MAX_WAIT_SECONDS = 2.0
"""Longest time for which a request may wait for a newer row."""

ANSWER_TIMEOUT_SECONDS = 0.4
"""Timeout for an answer, beyond the time that the request may wait."""

SKIP_FAILED_SECONDS = 3.0
"""Time for which a source that failed is skipped."""

COMPRESSION_LEVEL = 1


@functools.lru_cache(maxsize=1)
def _compress(value: bytes) -> bytes:
    return zlib.compress(value, COMPRESSION_LEVEL)


class ConfigurationHandler(PeerHandler):
    """Serves a long poll for a newer configuration to another daemon."""

    def initialize(
        self, routes: RouteTable, is_closing: Callable[[], bool]
    ) -> None:
        """Receives the handler's arguments; see `RequestHandler`."""
        self.is_closing = is_closing
        self._routes = routes

    async def get(self) -> None:
        """Answers once there is a newer row, or after the requested wait."""
        received_at = self._routes.monotonic()
        after = int(self.get_query_argument('after'))
        wait = int(self.get_query_argument('wait_ms')) / 1000
        await self._routes.wait_for_newer(after, min(wait, MAX_WAIT_SECONDS))
        row = self._routes.row
        if row is None or self.is_closing():
            self.refuse()
            return
        as_of_ms = 1000 * (self._routes.as_of - received_at)
        self.set_header(AS_OF_HEADER, str(math.floor(as_of_ms)))
        self.set_header(POSITION_HEADER, str(self._routes.position))
        if row.version > after:
            self.set_header(VERSION_HEADER, str(row.version))
            self.write(_compress(row.value))


@attrs.frozen
class PeerConfiguration:
    """A peer's answer about the configuration.

    Attributes:
      row: A row newer than the one asked about, if there is one.
      position: Version of the store up to which the peer knows all changes.
      as_of: Monotonic time in seconds up to which there was no newer row.
    """

    row: RawRow | None
    position: int
    as_of: float


@attrs.define
class ConfigurationSources:
    """The daemons from which this one reads the configuration.

    Attributes:
      host: Name of this host.
      zone: Its availability zone.
      capacity: Capacity of this host.
      http_client: Sends requests to the sources.
      monotonic: Returns monotonic time in seconds.
    """

    host: str
    zone: str
    capacity: Capacity
    http_client: HttpClient
    monotonic: Callable[[], float]
    _addresses: tuple[str, ...] = ()
    _failed_at: dict[str, float] = attrs.Factory(dict)
    _current_source: str = ''

    def update(self, announcements: Iterable[Mapping[str, Any]]) -> None:
        """Updates the sources from the announcements of the other daemons.

        The small hosts of a zone are spread over its sources by a hash of both
        names.
        """
        min_mbps = MIN_LINK_RATIO * self.capacity.link_mbps
        addresses = [
            body['address']
            for body in announcements
            if body.get('zone') == self.zone
            and body.get('link_mbps', 0.0) >= min_mbps
        ]
        self._addresses = tuple(sorted(addresses, key=self._rank))

    def _rank(self, address: str) -> int:
        return zlib.crc32(f'{self.host} {address}'.encode())

    def choose(self) -> str:
        """Returns the address of the source to use now, or ''."""
        now = self.monotonic()
        for address in self._addresses:
            failed_at = self._failed_at.get(address, -math.inf)
            if now - failed_at > SKIP_FAILED_SECONDS:
                return address
        return ''

    async def read(self, after: int, wait: float) -> PeerConfiguration | None:
        """Reads the configuration from the first source that answers.

        Args:
          after: Version of the row that is known; only a newer one is sent.
          wait: Seconds to wait for a newer row.

        Returns:
          The answer, or None if no source gave any.
        """
        while address := self.choose():
            self._log_change(address)
            found = await self._ask(address, after, wait)
            if found is not None:
                return found
            self._failed_at[address] = self.monotonic()
        self._log_change('')
        return None

    async def _ask(
        self, address: str, after: int, wait: float
    ) -> PeerConfiguration | None:
        query = {'after': after, 'wait_ms': int(1000 * wait)}
        sent_at = self.monotonic()
        answer = await self.http_client.call(
            'GET',
            f'{CONFIGURATION_PATH}?{urllib.parse.urlencode(query)}',
            timeout=wait + ANSWER_TIMEOUT_SECONDS,
            total_timeout=READ_SECONDS,
            base=f'http://{address}',
            kind=CallKind.PEER,
        )
        try:
            return _decode(answer, sent_at)
        except (KeyError, ValueError, zlib.error) as error:
            log.warning(
                'Cannot read the configuration from another daemon: {!r}',
                error,
                extra={'daemon': address, 'status': answer.status},
            )
        return None

    def _log_change(self, address: str) -> None:
        if address != self._current_source:
            self._current_source = address
            source = 'another daemon' if address else 'the store'
            log.info(
                'Takes the configuration from {}.',
                source,
                extra={'daemon': address},
            )


def _decode(answer: HttpResponse, sent_at: float) -> PeerConfiguration:
    """Decodes an answer of `ConfigurationHandler`.

    Raises:
      KeyError, ValueError, zlib.error: The status is not 200, or the answer is
        malformed.
    """
    if answer.status != 200:
        raise ValueError(answer.body[:200].decode(errors='replace'))
    row = None
    if VERSION_HEADER in answer.headers:
        version = int(answer.headers[VERSION_HEADER])
        value = zlib.decompress(answer.body)
        row = RawRow(CONFIGURATION_KEY, value, version)
    # The header counts from when the request was received, which is later than
    # `sent_at`; so this is no later than the actual time.
    as_of = sent_at + int(answer.headers[AS_OF_HEADER]) / 1000
    return PeerConfiguration(row, int(answer.headers[POSITION_HEADER]), as_of)
