"""Metrics of a daemon's calls, and the log line on slow ones."""

from __future__ import annotations

import logbook
import pytest

from lentilmount.clock import ManualClock
from lentilmount.control.call_monitor import LOG_SECONDS, CallMonitor
from lentilmount.control.metrics import ControlMetrics
from lentilmount.platform.store import PlatformTable
from lentilmount.platform.workers import StartCommand, WorkerClient
from lentilmount.upstream.http import CallKind, HttpClient, HttpResponse
from tests.helpers import run
from tests.scheduling_fixtures import make_entry

TIMEOUT_SECONDS = 0.8


class _FixedHttpClient(HttpClient):
    """A client whose calls all get the same response."""

    response = HttpResponse(200, b'{"clockMs":1,"ver":1,"rows":[]}', {})

    async def _send(self, *args: object) -> HttpResponse:
        return self.response


class _Recorder:
    """Records the kinds and sizes of calls."""

    def __init__(self) -> None:
        self.begun: list[tuple[CallKind, int]] = []
        self.ended: list[tuple[CallKind, int, bool]] = []

    def handle_begin(self, kind: CallKind, sent: int) -> None:
        self.begun.append((kind, sent))

    def handle_end(
        self, kind: CallKind, sent: int, received: int | None, seconds: float
    ) -> None:
        self.ended.append((kind, sent, bool(received)))


def test_calls_are_counted_by_kind() -> None:
    """No metric told what filled the link of an owner."""
    recorder = _Recorder()
    http_client = _FixedHttpClient('', observer=recorder)

    async def scenario() -> None:
        client = WorkerClient(http_client, 1, 1.0)
        entry = make_entry('w')
        await client.start(entry, StartCommand('t', 1, 'x' * 1200, 1))
        await client.stop(entry, 't', 1)
        await client.throttle(entry, 't', 1, 50)
        await client.poll(entry, 0, None, 0.0)
        table = PlatformTable(http_client, 1.0)
        await table.read_all('jobs')
        await table.transact('token', [])
        await table.follow('jobs', 0, 0.0)

    run(scenario())
    kinds = [kind for kind, _ in recorder.begun]
    assert kinds == [
        CallKind.START,
        CallKind.STOP,
        CallKind.THROTTLE,
        CallKind.POLL,
        CallKind.TABLE_READ,
        CallKind.TABLE_WRITE,
        CallKind.TABLE_FEED,
    ]
    assert [call[:2] for call in recorder.ended] == recorder.begun
    assert all(is_answered for _, _, is_answered in recorder.ended)
    sizes = dict(recorder.begun)
    assert 1200 < sizes[CallKind.START] < 1700 > sizes[CallKind.POLL]


def _end_calls(
    monitor: CallMonitor, count: int, received: int, seconds: float
) -> None:
    for _ in range(count):
        monitor.handle_begin(CallKind.START, 1000)
        monitor.handle_end(CallKind.START, 1000, received, seconds)


def test_metrics_of_calls() -> None:
    """They show totals by kind, and what is in flight now."""
    monitor = CallMonitor(ManualClock().monotonic)
    metrics = ControlMetrics()
    _end_calls(monitor, 3, 100, 0.1)
    _end_calls(monitor, 1, 0, TIMEOUT_SECONDS)
    monitor.handle_begin(CallKind.POLL, 300)
    for _ in range(2):
        monitor.refresh_metrics(metrics)
    found = {
        name: metrics.registry.get(name).get({'kind': kind})
        for name, kind in (
            ('lentilmount_calls_total', 'start'),
            ('lentilmount_calls_unanswered_total', 'start'),
            ('lentilmount_call_sent_bytes_total', 'start'),
            ('lentilmount_call_received_bytes_total', 'start'),
            ('lentilmount_call_seconds_total', 'start'),
            ('lentilmount_calls_in_flight', 'poll'),
            ('lentilmount_call_bytes_in_flight', 'poll'),
        )
    }
    assert list(found.values()) == [
        *(4, 1, 4000, 300),
        pytest.approx(0.3),
        *(1, 300),
    ]


@pytest.mark.parametrize(
    ('received', 'seconds', 'is_slow'),
    [(100, 0.01, False), (100, 0.5, True), (0, TIMEOUT_SECONDS, True)],
)
def test_slow_calls_are_logged_once_a_second(
    received: int, seconds: float, is_slow: bool
) -> None:
    """An owner's log told of each worker, and never of its own calls."""
    clock = ManualClock()
    monitor = CallMonitor(clock.monotonic)
    with logbook.TestHandler() as handler:
        for _ in range(30):
            _end_calls(monitor, 20, received, seconds)
            clock.advance(LOG_SECONDS / 10)
        lines = [record.message for record in handler.records]
        clock.advance(10.0)
        _end_calls(monitor, 20, 100, 0.01)
        assert len(handler.records) == len(lines)
    assert lines == ['Calls are slow as a whole.'] * (3 if is_slow else 0)


def test_a_cancelled_call_is_no_unanswered_one() -> None:
    """The calls of an owner that stops would look like an outage."""
    monitor = CallMonitor(ManualClock().monotonic)
    for _ in range(20):
        monitor.handle_begin(CallKind.POLL, 300)
        monitor.handle_end(CallKind.POLL, 300, None, 1.0)
    assert not monitor.get_recent().are_slow
