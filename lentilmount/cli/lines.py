"""Formats timeline events as table rows and as a Chrome trace."""

from __future__ import annotations

import datetime
from collections.abc import Iterator, Sequence
from typing import Any

Event = dict[str, Any]

_START_KINDS = frozenset({'placed', 'resumed'})
_END_KINDS = frozenset({'completed', 'failed', 'stopped', 'lost', 'cancelled'})

ATTEMPTS_PROCESS = 'attempts'
"""Name of the trace process that holds the attempts, a lane per worker."""


def make_event_row(event: Event) -> tuple[str, ...]:
    """Returns the table row of an event."""
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
    # The counter orders events within one millisecond.
    stamp = event['stamp']
    return int(stamp['millis'] * 1000 + min(stamp['counter'], 999))


class TraceIds:
    """Assigns the numeric process and thread ids that the format requires."""

    def __init__(self) -> None:
        self._numbers: dict[tuple[str, str], int] = {}

    def find_ids(self, process: str, thread: str) -> dict[str, int]:
        """Returns the `pid` and `tid` of a lane; assigns them on first use."""
        pid = self._numbers.setdefault((process, ''), len(self._numbers) + 1)
        tid = self._numbers.setdefault(
            (process, thread), len(self._numbers) + 1
        )
        return {'pid': pid, 'tid': tid}

    def list_name_entries(self) -> Iterator[dict[str, Any]]:
        """Yields the metadata entries that name the processes and threads."""
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
    """Builds a Chrome trace of events, which must be in order of time.

    Each daemon is a process of the trace. Its lanes (threads) are the workers
    that its events name and, for events without a worker, its parts.
    Attempts of tasks are spans in a separate process with a lane for each
    worker.

    Source of the format: "Trace Event Format", the Chromium project.
    """
    ids = TraceIds()
    entries = [_make_entry(event, ids) for event in events]
    entries += _make_attempt_entries(events, ids)
    return {
        'displayTimeUnit': 'ms',
        'traceEvents': [*ids.list_name_entries(), *entries],
    }


def _make_entry(event: Event, ids: TraceIds) -> dict[str, Any]:
    lane_ids = ids.find_ids(event['daemon'], event['worker'] or event['part'])
    entry: dict[str, Any] = {
        'name': event['kind'],
        'cat': event['part'],
        **lane_ids,
        'ts': _get_micros(event),
        'args': {
            name: event[name]
            for name in ('resource', 'attempt', 'request', 'cause')
            if event[name]
        },
    }
    if not event['seconds']:
        return {**entry, 'ph': 'i', 's': 't'}
    # An event with a duration is recorded at its end.
    micros = int(event['seconds'] * 1_000_000)
    return {**entry, 'ph': 'X', 'ts': entry['ts'] - micros, 'dur': micros}


def _make_attempt_entries(
    events: Sequence[Event], ids: TraceIds
) -> Iterator[dict[str, Any]]:
    open_attempts: dict[tuple[str, int], Event] = {}
    for event in events:
        attempt = (event['resource'], event['attempt'])
        if event['kind'] in _START_KINDS:
            open_attempts[attempt] = event
        elif event['kind'] in _END_KINDS and attempt in open_attempts:
            start_event = open_attempts.pop(attempt)
            yield _make_attempt_entry(start_event, event, event['kind'], ids)
    for start_event in open_attempts.values():
        yield _make_attempt_entry(start_event, events[-1], 'still running', ids)


def _make_attempt_entry(
    start_event: Event, end_event: Event, outcome: str, ids: TraceIds
) -> dict[str, Any]:
    start = _get_micros(start_event)
    return {
        'name': f'{start_event["resource"]}#{start_event["attempt"]}',
        'cat': ATTEMPTS_PROCESS,
        'ph': 'X',
        **ids.find_ids(ATTEMPTS_PROCESS, start_event['worker']),
        'ts': start,
        'dur': max(1, _get_micros(end_event) - start),
        'args': {'ended': outcome},
    }
