"""Rebuilds where a task was placed, and why each placement ended, from logs."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import attrs

Line = dict[str, Any]

_TASK_ID = re.compile(r'[^.\s]+(\.\d+){3}')

_LOST_TASKS = re.compile(r'Its \d+ tasks ended: ')

_OPENING_CHANGES = frozenset({'adopted', 'held'})
"""Changes by which a task gets a placement without a start."""


def is_task_id(text: str) -> bool:
    """Returns whether a text has the form of a task's id."""
    return _TASK_ID.fullmatch(text) is not None


@attrs.define
class Placement:
    """A placement of a task.

    Attributes:
      time: When it was logged; '' if its beginning is not in the logs.
      daemon: Daemon that logged it.
      run: Run number.
      worker: Id of the worker.
      origin: How it came about, such as `started` or `adopted`.
      overlaps: Placements that had not ended by then, by the logs.
      ended_at: When its end was logged; '' if that is not in the logs.
      reason: Why it ended.
      notes: What else the logs tell of it.
    """

    time: str
    daemon: str
    run: int
    worker: str
    origin: str
    overlaps: list[str] = attrs.Factory(list)
    ended_at: str = ''
    reason: str = ''
    notes: list[str] = attrs.Factory(list)

    @property
    def name(self) -> str:
        """The run and its worker."""
        return f'run {self.run} on {self.worker}'

    def format(self) -> str:
        """Returns the placement as one line of text."""
        time = self.time or 'not in these logs'
        end = 'no end in these logs'
        if self.ended_at:
            end = f'ended {self.ended_at} {self.reason}'
        parts = [f'{time} {self.daemon} {self.name}: {self.origin}']
        parts += [f'while {name} had not ended' for name in self.overlaps]
        return '; '.join([*parts, *self.notes, end])


class PlacementTracer:
    """Rebuilds the placements of tasks from log lines, in order of time.

    Placements are told apart by run and worker. One that several daemons speak
    of, as its service changed owners, is listed for each of them.
    """

    def __init__(self, wanted_id: str) -> None:
        self._wanted_id = wanted_id
        self._placements: dict[str, list[Placement]] = {}

    def add_line(self, line: Line, daemon: str) -> None:
        """Adds a log line; ignores those that tell of no wanted task."""
        message = str(line.get('message', ''))
        handle = _HANDLERS.get(message.partition(' ')[0].rstrip(':.'))
        if handle is not None:
            handle(self, line, daemon, message)

    def list_placements(self, task: str) -> list[Placement]:
        """Lists the placements of a task."""
        return self._placements.get(task, [])

    def list_replaced(self) -> list[str]:
        """Lists the tasks that had several runs, or one on several workers."""
        return [
            task
            for task, placements in sorted(self._placements.items())
            if len({placement.name for placement in placements}) > 1
        ]

    def _is_wanted(self, task: str) -> bool:
        return self._wanted_id in (task, task.partition('.')[0])

    def _list_wanted(self, line: Line, key: str) -> Iterator[list[Any]]:
        for entry in line.get(key, ()):
            if self._is_wanted(entry[0]):
                yield entry

    def _open(
        self, line: Line, daemon: str, entry: Iterable[Any], origin: str
    ) -> None:
        task, run, worker = entry
        placements = self._placements.setdefault(task, [])
        opened = Placement(str(line.get('time')), daemon, run, worker, origin)
        open_names = dict.fromkeys(
            other.name for other in placements if not other.ended_at
        )
        opened.overlaps = [name for name in open_names if name != opened.name]
        placements.append(opened)

    def _find(
        self, daemon: str, task: str, run: int, worker: str
    ) -> list[Placement]:
        """Lists the rows of a placement; adds one if its start is missing."""
        placements = self._placements.setdefault(task, [])
        found = [p for p in placements if (p.run, p.worker) == (run, worker)]
        if not found:
            found = [Placement('', daemon, run, worker, 'unknown origin')]
            placements += found
        return found

    def _end(
        self, line: Line, placements: list[Placement], reason: str
    ) -> None:
        for placement in placements:
            if not placement.ended_at:
                placement.ended_at = str(line.get('time'))
                placement.reason = reason
            elif reason not in placement.reason:
                placement.reason += f', {reason}'

    def _handle_starts(self, line: Line, daemon: str, _: str) -> None:
        for entry in self._list_wanted(line, 'starts'):
            self._open(line, daemon, entry, 'started')
        # Daemons of earlier versions log each start in a line of its own.
        if self._is_wanted(str(line.get('task', ''))):
            entry = [line['task'], line.get('run', 0), line.get('worker', '')]
            self._open(line, daemon, entry, 'started')

    def _handle_restored(self, line: Line, daemon: str, _: str) -> None:
        for entry in self._list_wanted(line, 'restored'):
            self._open(line, daemon, entry, 'restored from its row')

    def _handle_changes(self, line: Line, daemon: str, _: str) -> None:
        for entry in self._list_wanted(line, 'changes'):
            task, run, worker, kind, reason, phase = entry
            text = f'{kind}: {reason} ({phase})'
            if kind in _OPENING_CHANGES:
                self._open(line, daemon, (task, run, worker), text)
                continue
            found = self._find(daemon, task, run, worker)
            if kind == 'freed':
                self._end(line, found, text)
            elif text not in found[-1].notes:
                found[-1].notes.append(text)

    def _handle_settled(self, line: Line, daemon: str, _: str) -> None:
        for entry in self._list_wanted(line, 'settled'):
            task, run, worker, outcome, copies, seconds = entry
            self._find(daemon, task, run, worker)[-1].notes.append(
                f'start {outcome}: {copies} copies in {seconds} s'
            )

    def _handle_task(self, line: Line, daemon: str, message: str) -> None:
        """Handles a line about one run of one task."""
        task = str(line.get('task', ''))
        if not self._is_wanted(task) or 'worker' not in line:
            return
        found = self._find(daemon, task, line.get('run', 0), line['worker'])
        if message.startswith('Ended'):
            self._end(line, found, message.rstrip('.'))
        else:
            found[-1].notes.append(message.rstrip('.'))

    def _handle_lost(self, line: Line, _: str, message: str) -> None:
        if not _LOST_TASKS.match(message):
            return
        for task in filter(self._is_wanted, line.get('tasks', ())):
            on_worker = [
                placement
                for placement in self.list_placements(task)
                if placement.worker == line.get('worker')
            ]
            self._end(line, on_worker, message.rstrip('.'))


_HANDLERS: dict[str, Callable[[PlacementTracer, Line, str, str], None]] = {
    'Starting': PlacementTracer._handle_starts,
    'Restored': PlacementTracer._handle_restored,
    'Placements': PlacementTracer._handle_changes,
    'Starts': PlacementTracer._handle_settled,
    'Copied': PlacementTracer._handle_task,
    'Stopping': PlacementTracer._handle_task,
    'Not': PlacementTracer._handle_task,
    'Ended': PlacementTracer._handle_task,
    'Its': PlacementTracer._handle_lost,
}
"""Handlers of log lines, by the first word of the message."""
