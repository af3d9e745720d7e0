"""Sends calls to the store through another daemon.

The store can reject one daemon for seconds while it answers the others. Without
a relay such a daemon would refuse its clients although there is capacity, and
an owner would be replaced: about 3.5 s without a start, from its last write to
the first start by the next owner.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs
import logbook

from lentilmount.control.store_health import FindOutageDetector
from lentilmount.platform.calls import (
    ANSWERED_STATUSES,
    REFUSED_STATUSES,
    StoreCall,
)
from lentilmount.upstream.http import (
    CURL_ERROR,
    CallKind,
    HttpClient,
    HttpResponse,
)

log = logbook.Logger('detour')

RELAY_PREFIX = '/relayed'
"""Prefix of the path of a call that is relayed for another daemon."""

PART_HEADER = 'Lentilmount-Part'
TIMEOUT_HEADER = 'Lentilmount-Timeout-Ms'

HOP_SECONDS = 0.1
"""Added to a call's timeout for the hop to the other daemon."""

LONG_ANSWER_HOP_SECONDS = 1.0
"""The same for a long answer, which the other daemon receives whole before it
sends any of it."""

LOG_AGAIN_SECONDS = 2.0
"""Time without a relayed call after which the next one is logged again; a
daemon calls the store every half second."""


@attrs.define
class PeerRelay:
    """A `StoreRelay` through the other daemons.

    Attributes:
      http_client: Sends calls to them.
      find_outage_detector: Returns the outage detector of a part of the store,
        which lists the daemons that may reach it.
      monotonic: Returns monotonic time in seconds.
    """

    http_client: HttpClient
    find_outage_detector: FindOutageDetector
    monotonic: Callable[[], float]
    _last_used_at: dict[str, float] = attrs.Factory(dict)

    def is_preferred(self, part: str) -> bool:
        """See `StoreRelay`."""
        detector = self.find_outage_detector(part)
        return detector.is_suspected and bool(detector.list_relays())

    async def send(self, call: StoreCall) -> HttpResponse | None:
        """See `StoreRelay`."""
        relays = self.find_outage_detector(call.part).list_relays()
        if not relays:
            return None
        peer = relays[0]
        hop_seconds = (
            HOP_SECONDS
            if call.total_timeout is None
            else LONG_ANSWER_HOP_SECONDS
        )
        answer = await self.http_client.call(
            call.method,
            RELAY_PREFIX + call.path,
            call.body,
            {
                'Content-Type': 'application/json',
                PART_HEADER: call.part,
                TIMEOUT_HEADER: str(int(1000 * call.timeout)),
            },
            timeout=call.timeout + hop_seconds,
            total_timeout=call.total_timeout,
            base=f'http://{peer}',
            kind=CallKind.PEER,
        )
        self._log_use(call.part, peer, answer.status)
        if answer.status in (*ANSWERED_STATUSES, *REFUSED_STATUSES):
            return answer
        return HttpResponse(CURL_ERROR, answer.body, {})

    def _log_use(self, part: str, peer: str, status: int) -> None:
        """Logs when relaying begins; `StoreHealth` logs when it ends."""
        now = self.monotonic()
        if now - self._last_used_at.get(part, -math.inf) > LOG_AGAIN_SECONDS:
            log.warning(
                'The store is reached through another daemon.',
                extra={'store_part': part, 'daemon': peer, 'status': status},
            )
        self._last_used_at[part] = now
