"""Prometheus metrics of the daemon on the outer platform."""

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
"""Upper bounds of histogram buckets in seconds, including the latency
objectives of both deployments."""

LAG_PERIOD_SECONDS = 0.25
"""Period of the measurement of the event loop's lag."""


class ControlMetrics:
    """Counters, histograms and gauges of one daemon."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._requests = self._make_counter(
            'lentilmount_requests_total',
            'Client requests, by method and HTTP status.',
        )
        self._request_seconds = self._make_histogram(
            'lentilmount_request_seconds',
            'Time from a whole request to its answer, in seconds.',
        )
        self._refusals = self._make_counter(
            'lentilmount_refused_jobs_total',
            'Jobs that were not accepted, by queue and kind of error.',
        )
        self._store_calls = self._make_counter(
            'lentilmount_store_calls_total',
            'Calls to the table service, by HTTP status; 599 for none.',
        )
        self._starts = self._make_counter(
            'lentilmount_starts_total', 'Tasks placed on workers.'
        )
        self._first_starts = self._make_histogram(
            'lentilmount_first_start_seconds',
            'Time from acceptance to the first start of a job, in seconds.',
        )
        self._ends = self._make_counter(
            'lentilmount_ends_total', 'Ends of runs, by how they ended.'
        )
        self._freed = self._make_counter(
            'lentilmount_placements_freed_total',
            'Placements that are over, by how that is known.',
        )
        self._start_copies = self._make_counter(
            'lentilmount_start_copies_total',
            'Copies of starts sent to workers, repeated ones included.',
        )
        self._stops_without_effect = self._make_counter(
            'lentilmount_stops_without_effect_total',
            'Accepted stops after which the worker went on listing the run.',
        )
        self._copies = self._make_counter(
            'lentilmount_copies_total',
            'Copies of slow tasks: started, done first or second, needless.',
        )
        self._takeovers = self._make_counter(
            'lentilmount_takeovers_total', 'Leases on services taken.'
        )
        self._ownership_losses = self._make_counter(
            'lentilmount_ownership_lost_total',
            'Services lost to another daemon.',
        )
        self._throttlings = self._make_counter(
            'lentilmount_paces_total',
            'Changes of pace of filling tasks, by direction.',
        )
        self._call_totals = {
            name: self._make_counter(f'lentilmount_{name}_total', text)
            for name, text in (
                ('calls', 'Calls that are over, by what they are for.'),
                ('calls_unanswered', 'Calls without an answer, by kind.'),
                ('call_sent_bytes', 'Estimated bytes of requests, by kind.'),
                (
                    'call_received_bytes',
                    'Estimated bytes of responses, by kind.',
                ),
                (
                    'call_seconds',
                    'Time of calls that were answered, in seconds, by kind.',
                ),
            )
        }
        self._lag = self._make_histogram(
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
                (
                    'lentilmount_admission_wait_seconds',
                    'Estimated wait of new work, by queue.',
                ),
                ('lentilmount_waiting_tasks', 'Tasks ready, by priority.'),
                (
                    'lentilmount_held_occurrences',
                    'Due occurrences of jobs that are not open yet.',
                ),
                ('lentilmount_calls_in_flight', 'Calls in flight, by kind.'),
                (
                    'lentilmount_call_bytes_in_flight',
                    'Estimated bytes of requests in flight, by kind.',
                ),
                ('lentilmount_running_tasks', 'Tasks placed on workers.'),
                (
                    'lentilmount_finished_runs',
                    'Runs that workers list although their jobs are over.',
                ),
                ('lentilmount_workers', 'Workers, by whether they answer.'),
                (
                    'lentilmount_cordoned_workers',
                    'Workers that get no tasks as their zone is cordoned.',
                ),
                (
                    'lentilmount_tail_ratio',
                    'Worst tail over its target, by serving image.',
                ),
            )
        }

    def _make_counter(self, name: str, text: str) -> Counter:
        return Counter(name, text, registry=self.registry)

    def _make_histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            name, text, buckets=list(SECONDS_BUCKETS), registry=self.registry
        )

    def count_request(self, method: str, status: int, seconds: float) -> None:
        """Counts a client's request."""
        self._requests.inc({'method': method, 'status': str(status)})
        self._request_seconds.observe({'method': method}, seconds)

    def count_refusal(self, queue: str, kind: str) -> None:
        """Counts a job that was not accepted, by kind of error."""
        self._refusals.inc({'queue': queue, 'kind': kind})

    def count_store_call(self, status: int) -> None:
        """Counts a call to the table service."""
        self._store_calls.inc({'status': str(status)})

    def count_start(self) -> None:
        """Counts a task that was placed."""
        self._starts.inc({})

    def observe_first_start(self, seconds: float) -> None:
        """Records how many seconds a job waited for its first start."""
        self._first_starts.observe({}, seconds)

    def count_end(self, kind: str) -> None:
        """Counts the end of a run, by its end kind."""
        self._ends.inc({'how': kind})

    def count_freed(self, reason: str) -> None:
        """Counts a placement that is over, by its reason."""
        self._freed.inc({'reason': reason})

    def count_start_copies(self, copies: int) -> None:
        """Counts the copies of a start that were sent."""
        self._start_copies.add({}, copies)

    def count_stop_without_effect(self) -> None:
        """Counts an accepted stop whose run the worker went on listing."""
        self._stops_without_effect.inc({})

    def count_copy(self, outcome: str) -> None:
        """Counts a copy of a task, when it starts and by how it ends."""
        self._copies.inc({'outcome': outcome})

    def count_takeover(self, service: str) -> None:
        """Counts an acquired lease of a service."""
        self._takeovers.inc({'service': service})

    def count_loss(self, service: str) -> None:
        """Counts a service lost to another daemon."""
        self._ownership_losses.inc({'service': service})

    def count_throttle_change(self, is_slower: bool) -> None:
        """Counts a change of a task's CPU share."""
        self._throttlings.inc({'direction': 'down' if is_slower else 'up'})

    def set_call_totals(self, kind: str, totals: Mapping[str, float]) -> None:
        """Sets the totals of the calls of one kind, by name of the metric."""
        for name, value in totals.items():
            self._call_totals[name].set({'kind': kind}, value)

    def set_gauge(
        self, name: str, values: Mapping[str, float], label: str
    ) -> None:
        """Sets a gauge, once per value of a label; '' stands for no label."""
        for key, value in values.items():
            self._gauges[name].set({label: key} if label else {}, value)

    async def watch_lag(self) -> None:
        """Measures the lag of the event loop until it is cancelled."""
        while True:
            due = time.monotonic() + LAG_PERIOD_SECONDS
            await asyncio.sleep(LAG_PERIOD_SECONDS)
            self._lag.observe({}, max(0.0, time.monotonic() - due))


class MetricsHandler(RequestHandler):
    """Serves the metrics to a scraper."""

    def initialize(
        self, metrics: ControlMetrics, refresh: Callable[[], None]
    ) -> None:
        """Receives the metrics and the function that updates the gauges."""
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
    """Returns the application that serves scrapers."""
    arguments = {'metrics': metrics, 'refresh': refresh}
    return Application(
        [('/metrics', MetricsHandler, arguments)],
        log_function=lambda handler: None,
    )
