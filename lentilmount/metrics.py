"""Metrics in Prometheus format, filtered by the teams a scraper may see."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Sequence

import attrs
from aioprometheus.collectors import (
    Collector,
    Counter,
    Gauge,
    Histogram,
    Registry,
)
from aioprometheus.renderer import render

TEAM_LABEL = 'team'

SECONDS_BUCKETS = (
    *(0.005, 0.01, 0.02, 0.04, 0.06, 0.1),
    *(0.15, 0.25, 0.5, 1.0, 2.5, 5.0),
)
"""Upper bounds in seconds; they include the tail latency targets of both
deployments."""


@attrs.frozen
class GaugeValue:
    """One gauge value, read when the metrics are scraped.

    Attributes:
      name: Name of the metric.
      value: Current value.
      labels: Labels; a series with a team label is visible to that team.
    """

    name: str
    value: float
    labels: dict[str, str] = attrs.Factory(dict)


GAUGES = {
    'lentilmount_ready': 'Whether the daemon is ready, 0 or 1.',
    'lentilmount_store_up': 'Whether the table service answers, 0 or 1.',
    'lentilmount_revision': 'Revision of the configuration in force.',
    'lentilmount_known_revision': 'Newest revision that is known to exist.',
    'lentilmount_slices': 'Slices that this daemon owns.',
    'lentilmount_members': 'Daemons that are up, this one included.',
    'lentilmount_in_flight': 'Interactive requests in flight from here.',
    'lentilmount_tasks': 'Tasks of the slices owned here, by phase.',
}


class Metrics:
    """The metrics of one daemon."""

    def __init__(self, read_gauges: Callable[[], Iterable[GaugeValue]]):
        self._read_gauges = read_gauges
        registry = Registry()
        self._requests = Counter(
            'lentilmount_requests_total',
            'Interactive requests answered, by HTTP status.',
            registry=registry,
        )
        self._seconds = Histogram(
            'lentilmount_request_seconds',
            'Time from a whole request to its answer, in seconds.',
            buckets=list(SECONDS_BUCKETS),
            registry=registry,
        )
        self._commands = Counter(
            'lentilmount_api_requests_total',
            'Requests to the resource API, by HTTP status.',
            registry=registry,
        )

    def observe_call(
        self, team: str, service: str, status: int, seconds: float
    ) -> None:
        """Counts an interactive request and records its duration in seconds."""
        labels = {TEAM_LABEL: team, 'service': service}
        self._requests.inc({**labels, 'status': str(status)})
        self._seconds.observe(labels, seconds)

    def observe_api_request(self, status: int) -> None:
        """Counts a request to the resource API."""
        self._commands.inc({'status': str(status)})

    def render(
        self, can_see: Callable[[str], bool], accepts: Sequence[str]
    ) -> tuple[bytes, dict[str, str]]:
        """Builds the response to a scrape.

        Args:
          can_see: Returns whether a team's series are visible; series without
            a team label belong to team ''.
          accepts: Values of the Accept header.

        Returns:
          The body and the HTTP headers.
        """
        shown = Registry()
        collectors = (
            (self._requests, Counter),
            (self._seconds, Histogram),
            (self._commands, Counter),
        )
        for collector, cls in collectors:
            _copy_visible(collector, cls, can_see, shown)
        gauges = {
            name: Gauge(name, doc, registry=shown)
            for name, doc in GAUGES.items()
        }
        for gauge in self._read_gauges():
            if can_see(gauge.labels.get(TEAM_LABEL, '')):
                gauges[gauge.name].set(gauge.labels, gauge.value)
        body, headers = render(shown, accepts)
        return body, dict(headers)


def _copy_visible(
    collector: Collector,
    cls: type[Collector],
    can_see: Callable[[str], bool],
    shown: Registry,
) -> None:
    copy = cls(collector.name, collector.doc, registry=shown)
    for key, value in collector.values.items():
        labels = json.loads(key)
        if can_see(labels.get(TEAM_LABEL, '')):
            copy.values[labels] = value
