"""Serves metrics, and counts the answers of the other listeners."""

from __future__ import annotations

import collections
import time
from collections.abc import Iterable, Iterator
from typing import Any

from tornado.web import Application, RequestHandler

from lentilmount.access import Authenticator, Verb
from lentilmount.batch.records import Task
from lentilmount.configuration import Configuration
from lentilmount.daemon.callers import CallHandler
from lentilmount.daemon.web import Handler, NoRouteHandler
from lentilmount.events import EventKind, EventLog
from lentilmount.metrics import TEAM_LABEL, GaugeValue, Metrics


class MetricsHandler(Handler):
    """Answers scrapes of the metrics."""

    def initialize(  # type: ignore[override]
        self, authenticator: Authenticator, metrics: Metrics
    ) -> None:
        """Sets the metrics."""
        super().initialize(authenticator)
        self.metrics = metrics

    def get(self) -> None:
        """Answers with the series that the token may read."""
        grant = self.admit()
        grant.require(Verb.READ, grant.team)
        accepts = self.request.headers.get_list('Accept')
        body, headers = self.metrics.render(grant.can_see, accepts)
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)


def make_metrics_app(
    authenticator: Authenticator, metrics: Metrics
) -> Application:
    """Builds the metrics' HTTP application."""
    parts: dict[str, Any] = {'authenticator': authenticator, 'metrics': metrics}
    return Application(
        [('/metrics', MetricsHandler, parts)],
        default_handler_class=NoRouteHandler,
        default_handler_args={'authenticator': authenticator},
    )


MAX_EVENTS_PER_SECOND = 5
"""Maximum number of answers per second that are recorded as events. A burst of
refusals would otherwise displace all other events from the ring buffer."""


class AnswerCounter:
    """Counts answers, and records failed and slow ones as events.

    Args:
      metrics: The metrics to update.
      configuration: The configuration, which declares the services.
      events: Log of this daemon's events.
    """

    def __init__(
        self, metrics: Metrics, configuration: Configuration, events: EventLog
    ):
        self._metrics = metrics
        self._configuration = configuration
        self._events = events
        self._current_second = 0
        self._recorded = 0

    def count_call(self, handler: RequestHandler) -> None:
        """Counts the answer to an interactive request.

        Only declared services get a series of their own. Callers can request
        any path, and a series for each would stay in memory.
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
            self._record_event(handler, f'Service/{team}/{service}', seconds)

    def _record_event(
        self, handler: RequestHandler, service: str, seconds: float
    ) -> None:
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second, self._recorded = second, 0
        self._recorded += 1
        if self._recorded > MAX_EVENTS_PER_SECOND:
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
        self._metrics.observe_api_request(handler.get_status())


def list_task_gauges(tasks: Iterable[Task]) -> Iterator[GaugeValue]:
    """Yields the number of tasks of each team in each phase."""
    counts = collections.Counter((t.team, t.phase.value) for t in tasks)
    for (team, phase), count in counts.items():
        labels = {TEAM_LABEL: team, 'phase': phase}
        yield GaugeValue('lentilmount_tasks', count, labels)
