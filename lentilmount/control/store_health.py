"""Whether the table service answers this daemon, and the others."""

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

from lentilmount.upstream.http import HttpClient

log = logbook.Logger('store')

OUTAGE_SECONDS = 0.8
"""Without a good answer for so long, and with a call that failed since, the
table counts as away. An owner renews its lease every 0.5 s."""

CUT_OFF_SECONDS = 1.2
"""Without a good answer for so long, and no general outage confirmed, a daemon
is cut off: long enough for the others to be asked twice."""

ANSWERS_SECONDS = 1.0
"""How long the other daemons' answers are believed: they are asked every
0.2 s for as long as the store does not answer here."""

QUIET_SECONDS = 1.0
"""Without a call about a part for so long a daemon probes it. Otherwise it
would know of no outage, and tell the daemons that ask that there is none."""

OLDEST_AGE = 1e9
"""Told for a store that has never answered: JSON has no infinity."""

HEAR_SECONDS = 1.0
"""For the answer of a larger host to an owner whose link may be full: calls
took up to 0.4 s there."""

PEER_SECONDS = 0.3
"""For a peer's answer: many times the way between zones (1.5 ms)."""


@attrs.define
class StoreHealth:
    """What this daemon's direct calls about one part of the store tell.

    A service's rows are in one part, and parts fail one by one: answers about
    others must not hide that this one is away.

    Attributes:
      monotonic: The clock for durations.
      part: Which part.
    """

    monotonic: Callable[[], float]
    part: str
    _good_at: float = -math.inf
    _has_failed: bool = False
    _is_down: bool = False
    _called_at: float = -math.inf

    def record(self, is_good: bool, took: float = 0.0) -> None:
        """Takes in whether a call was answered.

        A call that was sent before the last good answer tells nothing new by
        its failure: it may have waited for a store that is back since.

        Args:
          is_good: Whether it was.
          took: Seconds from its sending until now.
        """
        now = self.monotonic()
        self._called_at = now
        if not is_good and now - took < self._good_at:
            return
        if is_good:
            self._good_at = now
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
        """Seconds since the last good answer; 0 if no call failed since."""
        if not self._has_failed:
            return 0.0
        return self.monotonic() - self._good_at

    @property
    def is_idle(self) -> bool:
        """Whether no call was made for a while."""
        return self.monotonic() - self._called_at > QUIET_SECONDS

    @property
    def has_answered(self) -> bool:
        """Whether there was a good answer ever."""
        return self._good_at > -math.inf

    @property
    def is_down(self) -> bool:
        """Whether a call now would only wait in vain."""
        return self._is_down


@attrs.define
class PeerList:
    """The daemons, as far as they are known here.

    Attributes:
      own: This daemon's internal address.
      known: Internal addresses of all daemons.
    """

    own: str
    known: tuple[str, ...] = ()

    def list_others(self) -> list[str]:
        """Lists the addresses of the other daemons."""
        return [address for address in self.known if address != self.own]


@attrs.define
class OutageDetector:
    """Tells an outage for all daemons from one of this daemon alone.

    An owner that alone cannot reach the store will be replaced and must not
    start anything more. If no daemon reaches it, nobody can replace the owner,
    and work goes on. Only the other daemons can tell which it is.

    Attributes:
      health: What this daemon knows itself.
      caller: Sends the questions.
      peers: The daemons.
    """

    health: StoreHealth
    caller: HttpClient
    peers: PeerList
    _confirmed_at: float = -math.inf
    _asked_at: float = -math.inf
    _ages: dict[str, float] = attrs.Factory(dict)

    def is_general(self) -> bool:
        """Whether the store was away for all a moment ago."""
        passed = self.health.monotonic() - self._confirmed_at
        return self.is_suspected and passed < OUTAGE_SECONDS

    def outage_until(self) -> float:
        """Monotonic time up to which the store was surely away for all.

        A daemon whose probe was on its way as the store came back still says
        that it is away, until that probe has failed and the next is answered.
        """
        return self._confirmed_at - OUTAGE_SECONDS

    def is_cut_off(self) -> bool:
        """Whether the store answers others and cannot be reached through them.

        Such a daemon can accept nothing, while others can; out of the
        balancer's rotation it takes no new clients from them. In a general
        outage all stay in: there is nobody better to ask.
        """
        return (
            self.health.age > CUT_OFF_SECONDS
            and not self.is_general()
            and not self.list_relays()
        )

    @property
    def is_suspected(self) -> bool:
        """Whether the store seems not to answer this daemon."""
        return self.health.age > OUTAGE_SECONDS

    @property
    def is_unreachable(self) -> bool:
        """Whether a call now would only wait in vain."""
        return self.health.is_down and not self.list_relays()

    def list_relays(self) -> list[str]:
        """Lists the daemons that may reach the store while this one cannot.

        Just after the first failure nobody has been asked, and any may do.
        """
        if self.is_general():
            return []
        passed = self.health.monotonic() - self._asked_at
        helpers = self.peers.list_others()
        if passed < ANSWERS_SECONDS:
            helpers = [
                peer for peer, age in self._ages.items() if age < OUTAGE_SECONDS
            ]
        random.shuffle(helpers)
        return helpers

    async def poll_peers(self) -> None:
        """Asks the other daemons."""
        others = self.peers.list_others()
        asked_at = self.health.monotonic()
        answers = await asyncio.gather(*map(self._ask_peer, others))
        self._asked_at = asked_at
        self._ages = {
            peer: age
            for peer, age in zip(others, answers, strict=True)
            if age is not None
        }
        known = list(self._ages.values())
        away = all(age > OUTAGE_SECONDS for age in known)
        if away and 2 * (len(known) + 1) > len(others) + 1:
            self._confirmed_at = asked_at

    def make_report(self) -> dict[str, Any]:
        """Returns the report for other daemons (`may_own`, `poll_peers`)."""
        age = min(self.health.age, OLDEST_AGE)
        return {'age': age, 'may_own': self.health.has_answered}

    async def may_own(self, address: str) -> bool:
        """Asks another daemon whether it can own what is in this part.

        It can if the store has answered it, does so still, and it is not being
        stopped: one that has just been started has no failure to tell of.
        """
        report = await self._call_peer(address, HEAR_SECONDS)
        age = report.get('age', math.inf)
        return bool(report.get('may_own')) and age < OUTAGE_SECONDS

    async def _ask_peer(self, address: str) -> float | None:
        report = await self._call_peer(address, PEER_SECONDS)
        return report.get('age')

    async def _call_peer(self, address: str, timeout: float) -> dict[str, Any]:
        query = urllib.parse.urlencode({'part': self.health.part})
        answer = await self.caller.call(
            'GET',
            f'/store?{query}',
            timeout=timeout,
            base=f'http://{address}',
        )
        if answer.status != 200:
            return {}
        try:
            report = orjson.loads(answer.body)
            return {**report, 'age': float(report['age'])}
        except (ValueError, TypeError, KeyError) as error:
            log.warning('Answer of {} cannot be read: {!r}', address, error)
            return {}


FindOutageDetector = Callable[[str], OutageDetector]
"""Finds what is known of a part of the store."""

Probe = Callable[[str], Awaitable[None]]


async def poll_peers_in_outage(
    outage_detectors: Mapping[str, OutageDetector], pause: float
) -> None:
    """Asks the other daemons for as long as the store does not answer."""
    while True:
        suspected = [o for o in outage_detectors.values() if o.is_suspected]
        await asyncio.gather(*(outage.poll_peers() for outage in suspected))
        await asyncio.sleep(pause)


async def probe_store(
    outage_detectors: Mapping[str, OutageDetector], probe: Probe, pause: float
) -> None:
    """Makes direct calls while the store does not answer, or nobody calls it.

    While it does not answer all other calls go through other daemons, and
    would not notice that the store answers here again. Apart from
    `poll_peers_in_outage`: a call to a silent store takes long enough to let
    the other daemons' answers grow old.

    Args:
      outage_detectors: What is known, by part of the store.
      probe: Makes a direct call about a part.
      pause: Seconds between two rounds.
    """
    while True:
        due = [
            part
            for part, outage in outage_detectors.items()
            if outage.is_suspected or outage.health.is_idle
        ]
        await asyncio.gather(*map(probe, due))
        await asyncio.sleep(pause)
