"""The report of a soak."""

from __future__ import annotations

import collections
import pathlib

from soak.checks import (
    CHECKS,
    Record,
    Violation,
    count_copies,
    count_unexplained_exits,
)
from soak.events import Event, EventKind, encode_event
from soak.plan import Plan

LONGEST_LIST = 5
"""Violations that are shown with the lines of their records."""


def format_report(
    plan: Plan,
    folder: pathlib.Path,
    record: Record,
    calls: int,
    violations: list[Violation],
) -> str:
    """Returns what was played and what was found."""
    faults = collections.Counter(fault.kind.value for fault in plan.faults)
    states = collections.Counter(
        {e.task: e.detail for e in record.select(EventKind.STATE)}.values()
    )
    kinds = collections.Counter(event.kind for event in record.events)
    late = sum(run.is_late for run in record.list_runs())
    lines = [
        f'seed {plan.seed}, {plan.size.seconds:g} s, {plan.size.daemons} '
        f'daemons, {plan.size.workers} workers, records in {folder}',
        f'faults planned: {_format_counts(faults)}',
        f'resets of delivered calls: {kinds[EventKind.RESET]}, answers lost: '
        f'{kinds[EventKind.LOST]}, calls held: {kinds[EventKind.HELD]}',
        f'crashes by tasks: {kinds[EventKind.CRASHED]}, by signals: '
        f'{kinds[EventKind.KILLED]}, unexplained: '
        f'{count_unexplained_exits(record)}',
        f'calls: {calls}, starts: {kinds[EventKind.STARTED]}, copies of starts '
        f'received: {count_copies(record)}, starts for an earlier '
        f'incarnation: {late}',
        f'jobs accepted: {kinds[EventKind.ACCEPTED]}, rejected: '
        f'{kinds[EventKind.REJECTED]}, returned: '
        f'{kinds[EventKind.RETURNED]}, cancelled: '
        f'{kinds[EventKind.CANCELLED]}; states: {_format_counts(states)}',
        f'checks: {len(CHECKS)}, violations: {len(violations)}',
    ]
    for number, violation in enumerate(violations):
        lines.append(
            f'{violation.promise}: {violation.task}: {violation.detail}'
        )
        if number < LONGEST_LIST:
            found = select_events(record, violation.task)
            lines += [f'  {encode_event(event)}' for event in found]
    return '\n'.join(lines)


def _format_counts(counts: collections.Counter[str]) -> str:
    return ', '.join(f'{name} {n}' for name, n in sorted(counts.items()))


def select_events(record: Record, task: str) -> list[Event]:
    """Returns the events of a task, and of its job as a whole.

    The answers to looks at the job's state are left out, and so are the other
    tasks of the job; for a job, the events of all its tasks are returned.
    """
    job = task.partition('.')[0]
    return [
        event
        for event in record.events
        if event.task in (task, job) and event.kind is not EventKind.STATE
    ]
