"""What the daemons tell each other of their load at the upstreams.

Within an availability zone every daemon talks to every other, between zones
only a few do. So a daemon tells its own zone its own load, and what it heard
of other zones; and tells another zone the sum of its zone.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

STALE_SECONDS = 2.5
"""Age after which a report no longer counts."""

MAX_COUNT = 255
_ZONE_MARK = 'zone/'


@attrs.frozen
class LoadReport:
    """Requests in flight at the replicas of one service.

    Attributes:
      source: A daemon, or a whole zone.
      service: The service, as team/name.
      counts: One byte for each replica, by its number.
    """

    source: str
    service: str
    counts: bytes


def pack_counts(loads: Mapping[int, int]) -> bytes:
    """Writes counts by replica number as bytes."""
    packed = bytearray(max(loads, default=-1) + 1)
    for number, load in loads.items():
        packed[number] = min(MAX_COUNT, load)
    return bytes(packed)


def _add(first: bytes, second: bytes) -> bytes:
    if len(first) < len(second):
        first, second = second, first
    total = bytearray(first)
    for number, load in enumerate(second):
        total[number] = min(MAX_COUNT, total[number] + load)
    return bytes(total)


class PeerLoads:
    """The last report of each other daemon and zone.

    Args:
      daemon: This daemon's name.
      zone: Its availability zone.
    """

    def __init__(self, daemon: str, zone: str):
        self._daemon = daemon
        self._zone = zone
        self._reports: dict[tuple[str, str], tuple[float, bytes]] = {}

    def update(self, reports: Iterable[LoadReport], now: float) -> None:
        """Takes in what a peer told."""
        mine = (self._daemon, _ZONE_MARK + self._zone)
        for report in reports:
            if report.source not in mine:
                key = (report.source, report.service)
                self._reports[key] = (now, report.counts)
        for key, (at, _) in list(self._reports.items()):
            if now - at > STALE_SECONDS:
                del self._reports[key]

    def sum_others(self, service: str, now: float) -> bytes:
        """Returns what the others have at each replica of a service."""
        return self._sum(service, now, local_only=False)

    def _sum(self, service: str, now: float, local_only: bool) -> bytes:
        total = b''
        for (source, name), (at, counts) in self._reports.items():
            if name != service or now - at > STALE_SECONDS:
                continue
            if not local_only or not source.startswith(_ZONE_MARK):
                total = _add(total, counts)
        return total

    def list_reports_for(
        self, zone: str, own: Mapping[str, bytes], now: float
    ) -> list[LoadReport]:
        """Returns what a daemon in a zone is to be told.

        Args:
          zone: The other daemon's zone.
          own: This daemon's counts by service.
          now: Monotonic time.
        """
        if zone == self._zone:
            mine = [LoadReport(self._daemon, s, c) for s, c in own.items()]
            return mine + self._list_zone_reports(now)
        source = _ZONE_MARK + self._zone
        return [
            LoadReport(
                source, service, _add(counts, self._sum(service, now, True))
            )
            for service, counts in own.items()
        ]

    def _list_zone_reports(self, now: float) -> list[LoadReport]:
        return [
            LoadReport(source, service, counts)
            for (source, service), (at, counts) in self._reports.items()
            if source.startswith(_ZONE_MARK) and now - at <= STALE_SECONDS
        ]
