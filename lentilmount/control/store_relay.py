"""Reaching the store through another daemon.

The store can turn one daemon away for seconds and answer the others. Without
a detour such a daemon refuses its clients although there is room, and an
owner is replaced: about 3.5 s without a start, measured from its last write
to the first start of the next owner.
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
from lentilmount.upstream.http import CURL_ERROR, HttpClient, HttpResponse

log = logbook.Logger('detour')

RELAY_PREFIX = '/relayed'
"""Before the path of a call that is sent for another daemon."""

PART_HEADER = 'Lentilmount-Part'
TIMEOUT_HEADER = 'Lentilmount-Timeout-Ms'

WAY_SECONDS = 0.1
"""For the way to the other daemon, beside the call's own time."""

READ_AHEAD_SECONDS = 1.0
"""For the other daemon to receive a long answer, which it passes on whole."""

QUIET_SECONDS = 2.0
"""Without a use for so long the next one is told as a new beginning; a daemon
has a call to the store every half second."""


@attrs.define
class PeerRelay:
    """The way to the store through the other daemons.

    Attributes:
      caller: Sends calls to them.
      find_outage_detector: Tells which of them may reach the store.
      monotonic: The clock for durations.
    """

    caller: HttpClient
    find_outage_detector: FindOutageDetector
    monotonic: Callable[[], float]
    _used_at: dict[str, float] = attrs.Factory(dict)

    def is_preferred(self, part: str) -> bool:
        """See `StoreRelay`."""
        outage = self.find_outage_detector(part)
        return outage.is_suspected and bool(outage.list_relays())

    async def send(self, call: StoreCall) -> HttpResponse | None:
        """See `StoreRelay`."""
        helpers = self.find_outage_detector(call.part).list_relays()
        if not helpers:
            return None
        helper = helpers[0]
        way = WAY_SECONDS if call.total_timeout is None else READ_AHEAD_SECONDS
        answer = await self.caller.call(
            call.method,
            RELAY_PREFIX + call.path,
            call.body,
            {
                'Content-Type': 'application/json',
                PART_HEADER: call.part,
                TIMEOUT_HEADER: str(int(1000 * call.timeout)),
            },
            timeout=call.timeout + way,
            total_timeout=call.total_timeout,
            base=f'http://{helper}',
        )
        self._note(call.part, helper, answer.status)
        if answer.status in (*ANSWERED_STATUSES, *REFUSED_STATUSES):
            return answer
        return HttpResponse(CURL_ERROR, answer.body, {})

    def _note(self, part: str, helper: str, status: int) -> None:
        """Logs when the detour begins; `StoreHealth` tells when it ends."""
        now = self.monotonic()
        if now - self._used_at.get(part, -math.inf) > QUIET_SECONDS:
            log.warning(
                'The store is reached through another daemon.',
                extra={'store_part': part, 'daemon': helper, 'status': status},
            )
        self._used_at[part] = now
