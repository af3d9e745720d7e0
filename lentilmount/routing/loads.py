"""Exchanges load reports between daemons.

Within an availability zone all daemons exchange heartbeats, between zones
only a few do. A daemon therefore sends its own load and the reports of other
zones to daemons of its zone, and the total of its zone to other zones.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

STALE_SECONDS = 2.5
"""Age after which a report is ignored."""

MAX_COUNT = 255
_ZONE_PREFIX = 'zone/'


@attrs.frozen
class LoadReport:
    """Number of requests in flight at the replicas of one service.

    Attributes:
      source: Name of the daemon, or of the zone with a prefix, that has the
        requests in flight.
      service: Name of the service, as team/name.
      counts: One byte for each replica, by its index.
    """

    source: str
    service: str
    counts: bytes


def pack_counts(loads: Mapping[int, int]) -> bytes:
    """Encodes counts by replica index as bytes."""
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
    """Latest load reports of the other daemons and zones.

    Args:
      daemon: Name of this daemon.
      zone: Availability zone of this daemon.
    """

    def __init__(self, daemon: str, zone: str):
        self._daemon = daemon
        self._zone = zone
        self._reports: dict[tuple[str, str], tuple[float, bytes]] = {}

    def update(self, reports: Iterable[LoadReport], now: float) -> None:
        """Records the reports of a peer and drops expired ones."""
        own_sources = (self._daemon, _ZONE_PREFIX + self._zone)
        for report in reports:
            if report.source not in own_sources:
                key = (report.source, report.service)
                self._reports[key] = (now, report.counts)
        for key, (at, _) in list(self._reports.items()):
            if now - at > STALE_SECONDS:
                del self._reports[key]

    def sum_others(self, service: str, now: float) -> bytes:
        """Returns the requests of other daemons at each replica, as bytes."""
        return self._sum(service, now, local_only=False)

    def _sum(self, service: str, now: float, local_only: bool) -> bytes:
        total = b''
        for (source, name), (at, counts) in self._reports.items():
            if name != service or now - at > STALE_SECONDS:
                continue
            if not local_only or not source.startswith(_ZONE_PREFIX):
                total = _add(total, counts)
        return total

    def list_reports_for(
        self, zone: str, own: Mapping[str, bytes], now: float
    ) -> list[LoadReport]:
        """Returns the reports to send to a daemon of a zone.

        Args:
          zone: Zone of the receiving daemon.
          own: Encoded counts of this daemon, by service.
          now: Monotonic time in seconds.
        """
        if zone == self._zone:
            own_reports = [
                LoadReport(self._daemon, s, c) for s, c in own.items()
            ]
            return own_reports + self._list_zone_reports(now)
        source = _ZONE_PREFIX + self._zone
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
            if source.startswith(_ZONE_PREFIX) and now - at <= STALE_SECONDS
        ]
