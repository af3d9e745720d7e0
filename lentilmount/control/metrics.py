"""What a daemon counts on the platform, in Prometheus's form."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render
from tornado.web import Application, RequestHandler

SECONDS_BUCKETS = (
    *(0.005, 0.01, 0.025, 0.05, 0.1, 0.25),
    *(0.5, 1.0, 2.5, 5.0, 10.0, 30.0),
)
"""Upper bounds, among them the objectives of both deployments."""

LAG_SECONDS = 0.25
"""Between two measurements of the event loop's lag."""


class ControlMetrics:
    """Counters and histograms of one daemon."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._requests = self._count(
            'lentilmount_requests_total',
            'Client requests, by method and HTTP status.',
        )
        self._request_seconds = self._measure(
            'lentilmount_request_seconds',
            'Time from a whole request to its answer, in seconds.',
        )
        self._store_calls = self._count(
            'lentilmount_store_calls_total',
            'Calls to the table service, by HTTP status; 599 for none.',
        )
        self._starts = self._count(
            'lentilmount_starts_total', 'Tasks placed on workers.'
        )
        self._first_starts = self._measure(
            'lentilmount_first_start_seconds',
            'Time from acceptance to the first start of a job, in seconds.',
        )
        self._ends = self._count(
            'lentilmount_ends_total', 'Ends of runs, by how they ended.'
        )
        self._takeovers = self._count(
            'lentilmount_takeovers_total', 'Leases on services taken.'
        )
        self._losses = self._count(
            'lentilmount_ownership_lost_total',
            'Services lost to another daemon.',
        )
        self._paces = self._count(
            'lentilmount_paces_total',
            'Changes of pace of filling tasks, by direction.',
        )
        self._lag = self._measure(
            'lentilmount_loop_lag_seconds',
            'How late timers of the event loop fire, in seconds.',
        )
        self._gauges = {
            name: Gauge(name, text, registry=self.registry)
            for name, text in (
                ('lentilmount_ready', 'Whether the daemon is ready, 0 or 1.'),
                (
                    'lentilmount_configuration_age_seconds',
                    'Since when a newer configuration may have been written.',
                ),
                ('lentilmount_waiting_tasks', 'Tasks ready, by priority.'),
                ('lentilmount_running_tasks', 'Tasks placed on workers.'),
                ('lentilmount_workers', 'Workers, by whether they answer.'),
                (
                    'lentilmount_tail_ratio',
                    'Worst tail over its target, by serving image.',
                ),
            )
        }

    def _count(self, name: str, text: str) -> Counter:
        return Counter(name, text, registry=self.registry)

    def _measure(self, name: str, text: str) -> Histogram:
        return Histogram(
            name, text, buckets=list(SECONDS_BUCKETS), registry=self.registry
        )

    def count_request(self, method: str, status: int, seconds: float) -> None:
        """Counts a client's request."""
        self._requests.inc({'method': method, 'status': str(status)})
        self._request_seconds.observe({'method': method}, seconds)

    def count_store_call(self, status: int) -> None:
        """Counts a call to the table service."""
        self._store_calls.inc({'status': str(status)})

    def count_start(self) -> None:
        """Counts a task that was placed."""
        self._starts.inc({})

    def observe_first_start(self, seconds: float) -> None:
        """Takes in how long a job waited for its first start."""
        self._first_starts.observe({}, seconds)

    def count_end(self, how: str) -> None:
        """Counts the end of a run."""
        self._ends.inc({'how': how})

    def count_takeover(self, service: str) -> None:
        """Counts a lease that was taken."""
        self._takeovers.inc({'service': service})

    def count_loss(self, service: str) -> None:
        """Counts a service that another daemon owns now."""
        self._losses.inc({'service': service})

    def count_pace(self, is_slower: bool) -> None:
        """Counts a change of pace."""
        self._paces.inc({'direction': 'down' if is_slower else 'up'})

    def set_gauge(
        self, name: str, values: Mapping[str, float], label: str
    ) -> None:
        """Sets one gauge for each value of a label."""
        for key, value in values.items():
            self._gauges[name].set({label: key} if label else {}, value)

    async def watch_lag(self) -> None:
        """Measures the lag of the event loop for as long as it runs."""
        while True:
            due = time.monotonic() + LAG_SECONDS
            await asyncio.sleep(LAG_SECONDS)
            self._lag.observe({}, max(0.0, time.monotonic() - due))


class MetricsHandler(RequestHandler):
    """Answers a scrape."""

    def initialize(
        self, metrics: ControlMetrics, refresh: Callable[[], None]
    ) -> None:
        """Takes what it tells, and what brings gauges up to date."""
        self._metrics = metrics
        self._refresh = refresh

    def get(self) -> None:
        """Answers with all metrics."""
        self._refresh()
        accepts = self.request.headers.get_list('Accept')
        body, headers = render(self._metrics.registry, accepts)
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)


def make_metrics(
    metrics: ControlMetrics, refresh: Callable[[], None]
) -> Application:
    """Builds what a scraper talks to."""
    arguments = {'metrics': metrics, 'refresh': refresh}
    return Application(
        [('/metrics', MetricsHandler, arguments)],
        log_function=lambda handler: None,
    )
