"""The listener of metrics."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator
from typing import Any

from tornado.web import Application, RequestHandler

from lentilmount.access import Gate, Verb
from lentilmount.batch.records import Task
from lentilmount.configuration import Configuration
from lentilmount.daemon.callers import CallHandler
from lentilmount.daemon.web import Handler, NoRouteHandler
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


class AnswerCounter:
    """Counts answers of the listeners."""

    def __init__(self, metrics: Metrics, configuration: Configuration):
        self._metrics = metrics
        self._configuration = configuration

    def count_call(self, handler: RequestHandler) -> None:
        """Counts the answer to an interactive request.

        Only declared services get series of their own: any path can be
        asked for, and each would stay in memory for good.
        """
        team, service = '', ''
        if isinstance(handler, CallHandler) and len(handler.path_args) > 1:
            named = handler.path_args[:2]
            if self._configuration.get_service(*named) is not None:
                team, service = named
        self._metrics.observe_call(
            team,
            service,
            handler.get_status(),
            handler.request.request_time(),
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
