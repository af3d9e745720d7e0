"""Counts a daemon's calls by kind, and logs when they are slow as a whole.

Load pattern: an owner makes up to 2,200 calls a second. Each one adds to plain
numbers, which are copied into metrics only when these are read.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable

import attrs
import logbook

from lentilmount.control.metrics import ControlMetrics
from lentilmount.upstream.http import CallKind

log = logbook.Logger('calls')

WINDOW_SECONDS = 1.0
"""Time for which calls that are over count as recent ones."""

BUCKETS = 5
"""Number of parts of that time; calls are forgotten by parts."""

MIN_CALLS = 10
"""Number of recent calls below which nothing can be said of all."""

SLOW_ANSWER_SECONDS = 0.25
"""Mean time to an answer from which calls are slow as a whole: a third of the
shortest timeout. Usual ones take some ms, or some tens over a small link."""

SLOW_UNANSWERED_SHARE = 0.25
"""Share of calls without an answer from which they are slow as a whole. An
availability zone that is cut off is a third of the workers, but its calls are
fewer, as nothing is started there."""

LOG_SECONDS = 1.0
"""Shortest time between two log lines."""


@attrs.define
class _Totals:
    """Calls of one kind since the start of the daemon."""

    calls: int = 0
    unanswered: int = 0
    sent: int = 0
    received: int = 0
    seconds: float = 0.0
    in_flight: int = 0
    bytes_in_flight: int = 0


@attrs.define
class _Bucket:
    """Calls that were over within a part of the window."""

    since: float
    calls: int = 0
    unanswered: int = 0
    timed: int = 0
    seconds: float = 0.0


@attrs.frozen
class RecentCalls:
    """Calls that were over within the last second.

    Attributes:
      calls: Their number.
      unanswered_share: Share of them without an answer.
      answer_seconds: Mean time to an answer in seconds, of calls whose service
        does not wait for an event; 0 if there were none.
    """

    calls: int = 0
    unanswered_share: float = 0.0
    answer_seconds: float = 0.0

    @property
    def are_slow(self) -> bool:
        """Whether the daemon's calls are slow as a whole."""
        return self.calls >= MIN_CALLS and (
            self.answer_seconds > SLOW_ANSWER_SECONDS
            or self.unanswered_share > SLOW_UNANSWERED_SHARE
        )


@attrs.define(eq=False)
class CallMonitor:
    """A `CallObserver` of all calls of a daemon.

    Attributes:
      monotonic: Returns monotonic time in seconds.
    """

    monotonic: Callable[[], float]
    _totals: dict[CallKind, _Totals] = attrs.Factory(
        lambda: {kind: _Totals() for kind in CallKind}
    )
    _buckets: collections.deque[_Bucket] = attrs.Factory(collections.deque)
    _logged_at: float = -math.inf

    def handle_begin(self, kind: CallKind, sent: int) -> None:
        """See `CallObserver`."""
        totals = self._totals[kind]
        totals.in_flight += 1
        totals.bytes_in_flight += sent

    def handle_end(
        self, kind: CallKind, sent: int, received: int | None, seconds: float
    ) -> None:
        """See `CallObserver`."""
        totals = self._totals[kind]
        totals.in_flight -= 1
        totals.bytes_in_flight -= sent
        totals.calls += 1
        totals.sent += sent
        if received is None:
            return
        now = self.monotonic()
        bucket = self._find_bucket(now)
        bucket.calls += 1
        if received:
            totals.received += received
            totals.seconds += seconds
            if not kind.waits:
                bucket.timed += 1
                bucket.seconds += seconds
        else:
            totals.unanswered += 1
            bucket.unanswered += 1
        if now - self._logged_at >= LOG_SECONDS:
            self._log(now)

    def _find_bucket(self, now: float) -> _Bucket:
        length = WINDOW_SECONDS / BUCKETS
        if not self._buckets or now - self._buckets[-1].since >= length:
            self._buckets.append(_Bucket(now))
        return self._buckets[-1]

    def get_recent(self) -> RecentCalls:
        """Returns what is known of the calls of the last second."""
        start = self.monotonic() - WINDOW_SECONDS
        while self._buckets and self._buckets[0].since < start:
            self._buckets.popleft()
        calls = sum(bucket.calls for bucket in self._buckets)
        if not calls:
            return RecentCalls()
        unanswered = sum(bucket.unanswered for bucket in self._buckets)
        timed = sum(bucket.timed for bucket in self._buckets)
        seconds = sum(bucket.seconds for bucket in self._buckets)
        return RecentCalls(
            calls, unanswered / calls, seconds / timed if timed else 0.0
        )

    def _log(self, now: float) -> None:
        recent = self.get_recent()
        if not recent.are_slow:
            return
        self._logged_at = now
        totals = self._totals.values()
        log.warning(
            'Calls are slow as a whole.',
            extra={
                'calls': recent.calls,
                'unanswered': round(recent.unanswered_share, 3),
                'mean_answer': round(recent.answer_seconds, 3),
                'in_flight': sum(t.in_flight for t in totals),
                'bytes_in_flight': sum(t.bytes_in_flight for t in totals),
            },
        )

    def refresh_metrics(self, metrics: ControlMetrics) -> None:
        """Copies the totals into the metrics."""
        for kind, totals in self._totals.items():
            metrics.set_call_totals(
                kind.value,
                {
                    'calls': totals.calls,
                    'calls_unanswered': totals.unanswered,
                    'call_sent_bytes': totals.sent,
                    'call_received_bytes': totals.received,
                    'call_seconds': totals.seconds,
                },
            )
        for name, field in (
            ('lentilmount_calls_in_flight', 'in_flight'),
            ('lentilmount_call_bytes_in_flight', 'bytes_in_flight'),
        ):
            values = {
                kind.value: float(getattr(totals, field))
                for kind, totals in self._totals.items()
            }
            metrics.set_gauge(name, values, 'kind')
