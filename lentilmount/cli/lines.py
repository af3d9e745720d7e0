"""Events of the time line as rows, and as a Chrome trace."""

from __future__ import annotations

import datetime
from collections.abc import Iterator, Sequence
from typing import Any

Event = dict[str, Any]

_BEGINS = frozenset({'placed', 'resumed'})
_ENDS = frozenset({'completed', 'failed', 'stopped', 'lost', 'cancelled'})

RUNS = 'attempts'
"""The process of a trace in which each worker is a lane of its attempts."""


def make_event_row(event: Event) -> tuple[str, ...]:
    """Builds an event's row of a table."""
    millis = event['stamp']['millis']
    when = datetime.datetime.fromtimestamp(millis / 1000, datetime.UTC)
    return (
        when.isoformat(timespec='milliseconds').replace('+00:00', 'Z'),
        event['daemon'],
        event['part'],
        event['kind'],
        event['resource'],
        str(event['attempt'] or ''),
        event['worker'],
        event['cause'],
    )


def _get_micros(event: Event) -> int:
    # The counter keeps the order of events within one millisecond.
    stamp = event['stamp']
    return int(stamp['millis'] * 1000 + min(stamp['counter'], 999))


class Lanes:
    """Numbers for the processes and threads of a trace, which want numbers."""

    def __init__(self) -> None:
        self._numbers: dict[tuple[str, str], int] = {}

    def find(self, process: str, thread: str) -> dict[str, int]:
        """Returns the numbers of a lane."""
        pid = self._numbers.setdefault((process, ''), len(self._numbers) + 1)
        tid = self._numbers.setdefault(
            (process, thread), len(self._numbers) + 1
        )
        return {'pid': pid, 'tid': tid}

    def list_names(self) -> Iterator[dict[str, Any]]:
        """Yields the entries that tell the lanes' names."""
        for (process, thread), tid in self._numbers.items():
            name = 'thread_name' if thread else 'process_name'
            pid = self._numbers[process, '']
            yield {
                'name': name,
                'ph': 'M',
                'pid': pid,
                'tid': tid,
                'args': {'name': thread or process},
            }


def make_trace(events: Sequence[Event]) -> dict[str, Any]:
    """Builds a Chrome trace of events in order.

    Each daemon is a process with a lane for each worker that its events name,
    and one for each of its parts; the attempts of tasks are spans in a process
    of their own, with a lane for each worker.

    Source of the form: "Trace Event Format", the Chromium project.
    """
    lanes = Lanes()
    entries = [_make_entry(event, lanes) for event in events]
    entries += _make_runs(events, lanes)
    return {
        'displayTimeUnit': 'ms',
        'traceEvents': [*lanes.list_names(), *entries],
    }


def _make_entry(event: Event, lanes: Lanes) -> dict[str, Any]:
    lane = lanes.find(event['daemon'], event['worker'] or event['part'])
    entry: dict[str, Any] = {
        'name': event['kind'],
        'cat': event['part'],
        **lane,
        'ts': _get_micros(event),
        'args': {
            name: event[name]
            for name in ('resource', 'attempt', 'request', 'cause')
            if event[name]
        },
    }
    if not event['seconds']:
        return {**entry, 'ph': 'i', 's': 't'}
    # An event is recorded when what it tells is over.
    micros = int(event['seconds'] * 1_000_000)
    return {**entry, 'ph': 'X', 'ts': entry['ts'] - micros, 'dur': micros}


def _make_runs(
    events: Sequence[Event], lanes: Lanes
) -> Iterator[dict[str, Any]]:
    open_runs: dict[tuple[str, int], Event] = {}
    for event in events:
        run = (event['resource'], event['attempt'])
        if event['kind'] in _BEGINS:
            open_runs[run] = event
        elif event['kind'] in _ENDS and run in open_runs:
            begin = open_runs.pop(run)
            yield _make_run(begin, event, event['kind'], lanes)
    for begin in open_runs.values():
        yield _make_run(begin, events[-1], 'still running', lanes)


def _make_run(
    begin: Event, end: Event, how: str, lanes: Lanes
) -> dict[str, Any]:
    start = _get_micros(begin)
    return {
        'name': f'{begin["resource"]}#{begin["attempt"]}',
        'cat': RUNS,
        'ph': 'X',
        **lanes.find(RUNS, begin['worker']),
        'ts': start,
        'dur': max(1, _get_micros(end) - start),
        'args': {'ended': how},
    }
