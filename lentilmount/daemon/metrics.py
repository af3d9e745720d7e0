"""The listener of metrics."""

from __future__ import annotations

import collections
import time
from collections.abc import Iterable, Iterator
from typing import Any

from tornado.web import Application, RequestHandler

from lentilmount.access import Gate, Verb
from lentilmount.batch.records import Task
from lentilmount.configuration import Configuration
from lentilmount.daemon.callers import CallHandler
from lentilmount.daemon.web import Handler, NoRouteHandler
from lentilmount.events import EventKind, EventLog
from lentilmount.metrics import TEAM_LABEL, Gauged, Metrics


class MetricsHandler(Handler):
    """Answers a scrape."""

    def initialize(self, gate: Gate, metrics: Metrics) -> None:  # type: ignore[override]
        """Keeps the metrics."""
        super().initialize(gate)
        self.metrics = metrics

    def get(self) -> None:
        """Answers with the series that the token may see."""
        grant = self.admit()
        grant.require(Verb.READ, grant.team)
        accepts = self.request.headers.get_list('Accept')
        body, headers = self.metrics.render(grant.sees, accepts)
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)


def make_metrics_app(gate: Gate, metrics: Metrics) -> Application:
    """Builds the metrics' HTTP application."""
    parts: dict[str, Any] = {'gate': gate, 'metrics': metrics}
    return Application(
        [('/metrics', MetricsHandler, parts)],
        default_handler_class=NoRouteHandler,
        default_handler_args={'gate': gate},
    )


NOTABLE_PER_SECOND = 5
"""Most answers a second that the time line tells. A wave of refusals would
otherwise push everything else out of the ring."""


class AnswerCounter:
    """Counts answers of the listeners, and notes those that went wrong.

    Args:
      metrics: What counts.
      configuration: What tells which services there are.
      events: The time line.
    """

    def __init__(
        self, metrics: Metrics, configuration: Configuration, events: EventLog
    ):
        self._metrics = metrics
        self._configuration = configuration
        self._events = events
        self._second = 0
        self._noted = 0

    def count_call(self, handler: RequestHandler) -> None:
        """Counts the answer to an interactive request.

        Only declared services get series of their own: any path can be
        asked for, and each would stay in memory for good.
        """
        team, service, target_ms = '', '', float('inf')
        if isinstance(handler, CallHandler) and len(handler.path_args) > 1:
            named = handler.path_args[:2]
            spec = self._configuration.get_service(*named)
            if spec is not None:
                (team, service), target_ms = named, spec.target_ms
        status = handler.get_status()
        seconds = handler.request.request_time()
        self._metrics.observe_call(team, service, status, seconds)
        if service and (status >= 429 or seconds * 1000 > target_ms):
            self._note(handler, f'Service/{team}/{service}', seconds)

    def _note(
        self, handler: RequestHandler, service: str, seconds: float
    ) -> None:
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._noted = second, 0
        self._noted += 1
        if self._noted > NOTABLE_PER_SECOND:
            return
        self._events.record(
            'callers',
            EventKind.REQUEST,
            service,
            request=getattr(handler, 'request_id', ''),
            cause=f'HTTP status {handler.get_status()}',
            seconds=seconds,
        )

    def count_command(self, handler: RequestHandler) -> None:
        """Counts the answer to a request of the resource API."""
        self._metrics.observe_command(handler.get_status())


def gauge_tasks(tasks: Iterable[Task]) -> Iterator[Gauged]:
    """Yields how many tasks each team has in each phase."""
    counts = collections.Counter((t.team, t.phase.value) for t in tasks)
    for (team, phase), count in counts.items():
        labels = {TEAM_LABEL: team, 'phase': phase}
        yield Gauged('lentilmount_tasks', count, labels)
