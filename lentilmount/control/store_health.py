"""Detects outages of the table service, for this daemon and for all daemons.

A daemon that alone can't reach the store will be replaced as an owner, while in
an outage for all of them work goes on; the daemons ask each other which it is.
"""

from __future__ import annotations

import asyncio
import math
import random
import urllib.parse
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import attrs
import logbook
import orjson

from lentilmount.control.peer_reports import (
    OUTAGE_SECONDS,
    ConfirmedOutage,
    PeerReports,
)
from lentilmount.upstream.http import CallKind, HttpClient

log = logbook.Logger('store')

CUT_OFF_SECONDS = 1.2
"""Time without a successful answer, and without a confirmed outage for all,
after which a daemon is cut off. Allows for two rounds of polling its peers."""

IDLE_SECONDS = 1.0
"""Time without calls about a part of the store after which it is probed.
Otherwise an idle daemon would tell its peers that there is no outage."""

SLOW_SECONDS = 0.1
"""Mean duration of calls above which the store is slow. It takes a few
milliseconds, and some tens over a small link."""

SAMPLE_WEIGHT = 0.5
"""Weight of a call in that mean."""

MAX_AGE = 1e9
"""Age reported when the store has never answered; JSON has no infinity."""

MAY_OWN_TIMEOUT_SECONDS = 1.0
"""Timeout for asking a larger host whether it can own a service. Calls took
up to 0.4 s when the asking owner's network link was saturated."""

PEER_TIMEOUT_SECONDS = 0.3
"""Timeout for polling a peer; the network latency between zones is 1.5 ms."""


@attrs.define
class StoreHealth:
    """Tracks the outcome of this daemon's direct calls to a part of the store.

    The rows of a service are in one part. Parts fail independently, so answers
    from other parts must not hide the failure of this one.

    Attributes:
      monotonic: Returns monotonic time in seconds.
      part: Name of the part.
    """

    monotonic: Callable[[], float]
    part: str
    _answered_at: float = -math.inf
    _has_failed: bool = False
    _is_down: bool = False
    _called_at: float = -math.inf
    _mean_seconds: float = 0.0

    def record(self, is_answered: bool, took: float = 0.0) -> None:
        """Records the outcome of a call.

        The failure of a call that was sent before the last successful answer
        is ignored: the store may have recovered while it was pending.

        Args:
          is_answered: Whether a working service answered.
          took: Duration of the call in seconds.
        """
        now = self.monotonic()
        self._called_at = now
        if not is_answered and now - took < self._answered_at:
            return
        if is_answered:
            self._mean_seconds += SAMPLE_WEIGHT * (took - self._mean_seconds)
            self._answered_at = now
            self._has_failed = False
            if self._is_down:
                log.info('Answers again.', extra={'store_part': self.part})
            self._is_down = False
            return
        self._has_failed = True
        if not self._is_down and self.age > OUTAGE_SECONDS:
            log.warning(
                'Does not answer.',
                extra={'store_part': self.part, 'age': round(self.age, 3)},
            )
            self._is_down = True

    @property
    def age(self) -> float:
        """Seconds since the last successful answer; 0 if no call has failed."""
        if not self._has_failed:
            return 0.0
        return self.monotonic() - self._answered_at

    @property
    def is_slow(self) -> bool:
        """Whether the store answers, but takes long."""
        return self._mean_seconds > SLOW_SECONDS

    @property
    def is_idle(self) -> bool:
        """Whether no call was made for `IDLE_SECONDS`."""
        return self.monotonic() - self._called_at > IDLE_SECONDS

    @property
    def has_answered(self) -> bool:
        """Whether the store has ever answered."""
        return self._answered_at > -math.inf

    @property
    def is_down(self) -> bool:
        """Whether direct calls have failed for `OUTAGE_SECONDS`."""
        return self._is_down


@attrs.define
class PeerList:
    """The internal addresses of the known daemons.

    Attributes:
      own: Address of this daemon.
      known: Addresses of all daemons.
    """

    own: str
    known: tuple[str, ...] = ()

    def list_others(self) -> list[str]:
        """Returns the addresses of the other daemons."""
        return [address for address in self.known if address != self.own]


@attrs.define
class OutageDetector:
    """Distinguishes a general outage of the store from a local one.

    An owner that alone can't reach the store will be replaced and must not
    start any more tasks. If no daemon can reach it, nobody can replace the
    owner, and work goes on. Only the other daemons know which is the case.

    Attributes:
      health: Outcome of this daemon's own calls.
      http_client: Sends requests to peers.
      peers: The known daemons.
    """

    health: StoreHealth
    http_client: HttpClient
    peers: PeerList
    _outage: ConfirmedOutage = ConfirmedOutage()
    _reports: PeerReports = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Creates the reports of the other daemons."""
        self._reports = PeerReports(self.health.monotonic)

    def is_general(self) -> bool:
        """Returns whether the store was just unreachable for all daemons."""
        elapsed = self.health.monotonic() - self._outage.at
        is_recent = elapsed < OUTAGE_SECONDS + self._outage.span
        return self.is_suspected and is_recent

    def outage_until(self) -> float:
        """Returns until when the store was certainly unreachable for all.

        A peer whose probe was pending when the store recovered reports an
        outage until that probe has failed and the next one is answered.

        Returns:
          Monotonic time in seconds.
        """
        return self._outage.at - OUTAGE_SECONDS

    def is_cut_off(self) -> bool:
        """Returns whether only this daemon can't reach the store, by any route.

        Such a daemon can accept no jobs and leaves the load balancer's
        rotation, so that new clients reach other daemons. In a general outage
        all daemons stay in rotation, as none of them does better.
        """
        return (
            self.health.age > CUT_OFF_SECONDS
            and not self.is_general()
            and not self.list_relays()
        )

    @property
    def is_suspected(self) -> bool:
        """Whether direct calls of this daemon seem to fail."""
        return self.health.age > OUTAGE_SECONDS

    @property
    def is_unreachable(self) -> bool:
        """Whether neither direct nor relayed calls can succeed now."""
        return self.health.is_down and not self.list_relays()

    def list_relays(self) -> list[str]:
        """Returns the peers that may reach the store, in random order.

        Just after the first failure no peer has been polled yet, so all of
        them are returned.
        """
        if self.is_general():
            return []
        relays = self.peers.list_others()
        if self._reports.has_asked(relays):
            relays = self._reports.list_reachable(relays)
        random.shuffle(relays)
        return relays

    async def poll_peers(self) -> None:
        """Asks other daemons whether the store answers them."""
        others = self.peers.list_others()
        asked = self._reports.choose(others)
        asked_at = self.health.monotonic()
        answers = await asyncio.gather(*map(self._ask_peer, asked))
        self._reports.record(asked_at, dict(zip(asked, answers, strict=True)))
        outage = self._reports.find_outage(others)
        if outage is not None:
            self._outage = outage

    def make_report(self) -> dict[str, Any]:
        """Returns the report for other daemons (`may_own`, `poll_peers`)."""
        age = min(self.health.age, MAX_AGE)
        return {'age': age, 'may_own': self.health.has_answered}

    async def may_own(self, address: str) -> bool:
        """Returns whether another daemon can own the service of this part.

        It can if it is not shutting down and the store has answered it at
        least once and still does; a daemon that just started has seen no
        failure, but no answer either.
        """
        report = await self._call_peer(address, MAY_OWN_TIMEOUT_SECONDS)
        age = report.get('age', math.inf)
        return bool(report.get('may_own')) and age < OUTAGE_SECONDS

    async def _ask_peer(self, address: str) -> float | None:
        report = await self._call_peer(address, PEER_TIMEOUT_SECONDS)
        return report.get('age')

    async def _call_peer(self, address: str, timeout: float) -> dict[str, Any]:
        query = urllib.parse.urlencode({'part': self.health.part})
        answer = await self.http_client.call(
            'GET',
            f'/store?{query}',
            timeout=timeout,
            base=f'http://{address}',
            kind=CallKind.PEER,
        )
        if answer.status != 200:
            return {}
        try:
            report = orjson.loads(answer.body)
            return {**report, 'age': float(report['age'])}
        except (ValueError, TypeError, KeyError) as error:
            log.warning('Answer of {} is malformed: {!r}', address, error)
            return {}


FindOutageDetector = Callable[[str], OutageDetector]
"""Returns the outage detector of a part of the store."""

Probe = Callable[[str], Awaitable[None]]


async def poll_peers_in_outage(
    outage_detectors: Mapping[str, OutageDetector], pause: float
) -> None:
    """Polls the other daemons while the store does not answer this one.

    Args:
      outage_detectors: The detectors, by part of the store.
      pause: Seconds between two rounds.
    """
    while True:
        suspected = [o for o in outage_detectors.values() if o.is_suspected]
        await asyncio.gather(*(detector.poll_peers() for detector in suspected))
        await asyncio.sleep(pause)


async def probe_store(
    outage_detectors: Mapping[str, OutageDetector], probe: Probe, pause: float
) -> None:
    """Makes direct calls to parts of the store that fail or are idle.

    While a part fails all other calls are relayed through peers, and would not
    detect that it answers this daemon again. This is a loop of its own, as a
    probe may block for its whole timeout, and the answers from
    `poll_peers_in_outage` would become too old meanwhile.

    Args:
      outage_detectors: The detectors, by part of the store.
      probe: Makes a direct call to a part.
      pause: Seconds between two rounds.
    """
    while True:
        due = [
            part
            for part, detector in outage_detectors.items()
            if detector.is_suspected or detector.health.is_idle
        ]
        await asyncio.gather(*map(probe, due))
        await asyncio.sleep(pause)
