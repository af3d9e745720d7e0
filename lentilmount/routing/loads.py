"""Exchanges load reports between daemons.

Within an availability zone all daemons exchange heartbeats, between zones
only a few do. A daemon therefore sends its own load and the totals of other
zones to daemons of its zone, and the load of each daemon of its zone to other
zones. A total made by the sender could lack a daemon that it has not heard of
yet, which the receiver could not see.

Reports carry their age, so that one which was relayed never replaces a newer
one, and expires as if it had come directly.
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
      source: The daemon or the zone that has the requests in flight: the name
        of a daemon of the receiver's zone, `zone/ZONE/DAEMON` for one of
        another zone, `zone/ZONE` for the total of another zone.
      service: Name of the service, as team/name.
      counts: One byte for each replica, by its index.
      age_seconds: Time in seconds since the source counted them; of a total,
        since the newest part of it.
    """

    source: str
    service: str
    counts: bytes
    age_seconds: float = 0.0


@attrs.frozen
class _Counts:
    """Counts of one source and service.

    Attributes:
      counted_at: Monotonic time in seconds at which they were counted.
      counts: One byte for each replica, by its index.
    """

    counted_at: float
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


def _add_counts(first: _Counts, second: _Counts) -> _Counts:
    return _Counts(
        max(first.counted_at, second.counted_at),
        _add(first.counts, second.counts),
    )


def _get_zone(source: str) -> str:
    """Returns the other zone of a source, '' for a daemon of the own zone."""
    if not source.startswith(_ZONE_PREFIX):
        return ''
    return source.removeprefix(_ZONE_PREFIX).partition('/')[0]


class PeerLoads:
    """Latest load reports of the other daemons and zones.

    Args:
      daemon: Name of this daemon.
      zone: Availability zone of this daemon.
    """

    def __init__(self, daemon: str, zone: str):
        self._daemon = daemon
        self._zone = zone
        self._reports: dict[str, dict[str, _Counts]] = {}

    def update(self, reports: Iterable[LoadReport], now: float) -> None:
        """Records the newer reports of a peer and drops expired ones."""
        for report in reports:
            if not self._is_own(report.source):
                self._record(report, now - report.age_seconds)
        for sources in self._reports.values():
            for source, known in list(sources.items()):
                if now - known.counted_at > STALE_SECONDS:
                    del sources[source]

    def _record(self, report: LoadReport, counted_at: float) -> None:
        sources = self._reports.setdefault(report.service, {})
        known = sources.get(report.source)
        if known is None or counted_at >= known.counted_at:
            sources[report.source] = _Counts(counted_at, report.counts)

    def _is_own(self, source: str) -> bool:
        """Returns whether the requests are counted without the report."""
        zone = _get_zone(source)
        return zone == self._zone if zone else source == self._daemon

    def sum_others(self, service: str, now: float) -> bytes:
        """Returns the requests of other daemons at each replica, as bytes."""
        total = b''
        for _, counts in self._list_daemons(service, now):
            total = _add(total, counts.counts)
        for counts in self._sum_zones(service, now).values():
            total = _add(total, counts.counts)
        return total

    def _list_current(
        self, service: str, now: float
    ) -> list[tuple[str, _Counts]]:
        """Lists the sources of a service with their counts, unless expired."""
        return [
            (source, counts)
            for source, counts in self._reports.get(service, {}).items()
            if now - counts.counted_at <= STALE_SECONDS
        ]

    def _list_daemons(
        self, service: str, now: float
    ) -> list[tuple[str, _Counts]]:
        """Lists the other daemons of the own zone with their counts."""
        return [
            (source, counts)
            for source, counts in self._list_current(service, now)
            if not _get_zone(source)
        ]

    def _sum_zones(self, service: str, now: float) -> dict[str, _Counts]:
        """Returns the counts of the other zones.

        The daemons of a zone are added up where another zone's daemon has sent
        them; the total that a daemon of the own zone made counts otherwise.
        """
        totals: dict[str, _Counts] = {}
        sums: dict[str, _Counts] = {}
        for source, counts in self._list_current(service, now):
            zone = _get_zone(source)
            if source == _ZONE_PREFIX + zone:
                totals[zone] = counts
            elif zone:
                known = sums.get(zone)
                sums[zone] = _add_counts(known, counts) if known else counts
        return totals | sums

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
        return [
            report
            for service, counts in own.items()
            for report in self._list_daemon_reports(service, counts, now)
        ]

    def _list_daemon_reports(
        self, service: str, own: bytes, now: float
    ) -> list[LoadReport]:
        """Returns the reports of the daemons of this zone for another zone."""
        prefix = f'{_ZONE_PREFIX}{self._zone}/'
        return [
            LoadReport(prefix + self._daemon, service, own),
            *(
                LoadReport(
                    prefix + source,
                    service,
                    counts.counts,
                    now - counts.counted_at,
                )
                for source, counts in self._list_daemons(service, now)
            ),
        ]

    def _list_zone_reports(self, now: float) -> list[LoadReport]:
        return [
            LoadReport(
                _ZONE_PREFIX + zone,
                service,
                counts.counts,
                now - counts.counted_at,
            )
            for service in self._reports
            for zone, counts in self._sum_zones(service, now).items()
        ]
