"""Metrics in Prometheus's form, of which each team sees its own."""

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
"""Upper bounds, among them the tail targets of both deployments."""


@attrs.frozen
class Gauged:
    """One value that is read when the metrics are asked for.

    Attributes:
      name: Name of the metric.
      value: Its value now.
      labels: Labels; with a team, that team sees it.
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
    """What one daemon counts."""

    def __init__(self, read_gauges: Callable[[], Iterable[Gauged]]):
        self._read_gauges = read_gauges
        own = Registry()
        self._requests = Counter(
            'lentilmount_requests_total',
            'Interactive requests answered, by HTTP status.',
            registry=own,
        )
        self._seconds = Histogram(
            'lentilmount_request_seconds',
            'Time from a whole request to its answer, in seconds.',
            buckets=list(SECONDS_BUCKETS),
            registry=own,
        )
        self._commands = Counter(
            'lentilmount_api_requests_total',
            'Requests to the resource API, by HTTP status.',
            registry=own,
        )

    def observe_call(
        self, team: str, service: str, status: int, seconds: float
    ) -> None:
        """Counts an interactive request."""
        labels = {TEAM_LABEL: team, 'service': service}
        self._requests.inc({**labels, 'status': str(status)})
        self._seconds.observe(labels, seconds)

    def observe_command(self, status: int) -> None:
        """Counts a request to the resource API."""
        self._commands.inc({'status': str(status)})

    def render(
        self, sees: Callable[[str], bool], accepts: Sequence[str]
    ) -> tuple[bytes, dict[str, str]]:
        """Builds the answer to a scrape.

        Args:
          sees: Tells whether a team's series are visible; series without
            a team are those of team ''.
          accepts: Values of the Accept header.

        Returns:
          The body, and HTTP headers.
        """
        shown = Registry()
        own = (
            (self._requests, Counter),
            (self._seconds, Histogram),
            (self._commands, Counter),
        )
        for collector, cls in own:
            _copy_visible(collector, cls, sees, shown)
        gauges = {
            name: Gauge(name, doc, registry=shown)
            for name, doc in GAUGES.items()
        }
        for gauged in self._read_gauges():
            if sees(gauged.labels.get(TEAM_LABEL, '')):
                gauges[gauged.name].set(gauged.labels, gauged.value)
        body, headers = render(shown, accepts)
        return body, dict(headers)


def _copy_visible(
    collector: Collector,
    cls: type[Collector],
    sees: Callable[[str], bool],
    shown: Registry,
) -> None:
    copy = cls(collector.name, collector.doc, registry=shown)
    for key, value in collector.values.items():
        labels = json.loads(key)
        if sees(labels.get(TEAM_LABEL, '')):
            copy.values[labels] = value
