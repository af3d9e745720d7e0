"""Services of each slice, as the table's log or a peer told them."""

from __future__ import annotations

import collections
import json
from collections.abc import Iterable

import attrs

from lentilmount.batch.records import (
    Task,
    make_change_key,
    make_slice_key,
    read_changes,
)
from lentilmount.codec import encode, structure
from lentilmount.coordination.table import Row, Table, scan_all
from lentilmount.resources import FINAL_PHASES
from lentilmount.routing.directory import UpstreamDirectory
from lentilmount.wire import peer_pb2

PAGE = 200
RECENT_CHANGES = 200
"""Most changes of a slice kept for peers; others get a snapshot."""


@attrs.define
class SliceView:
    """What is known of the services of one slice.

    Attributes:
      sequence: Up to where the slice's log is taken in.
      newest: The newest change of a service among that.
      base: The change after which `recent` has everything.
      tasks: Replicas that are not over, by id.
      recent: Newest changes, with their sequence numbers.
    """

    sequence: int
    newest: int
    base: int
    tasks: dict[str, Task] = attrs.Factory(dict)
    recent: collections.deque[tuple[int, Task]] = attrs.Factory(
        collections.deque
    )

    def set(self, sequence: int, task: Task) -> None:
        """Takes in one change."""
        if task.phase in FINAL_PHASES:
            self.tasks.pop(task.id, None)
        else:
            self.tasks[task.id] = task
        self.newest = sequence
        self.recent.append((sequence, task))
        if len(self.recent) > RECENT_CHANGES:
            self.base = self.recent.popleft()[0]


class SliceLogs:
    """Follows the logs of slices into the directory.

    Only replicas of services are kept; what a slice does with jobs does not
    concern routing.

    Attributes:
      heads: The newest change of each slice that is known to exist.
    """

    def __init__(self, table: Table, directory: UpstreamDirectory):
        self.heads: dict[str, int] = {}
        self._table = table
        self._directory = directory
        self._views: dict[str, SliceView] = {}

    def get_sequence(self, name: str) -> int:
        """Returns up to where a slice's log is known; -1 for not at all."""
        view = self._views.get(name)
        return view.sequence if view else -1

    def list_services(self) -> dict[str, int]:
        """Returns the newest change of a service in each slice."""
        return {name: view.newest for name, view in self._views.items()}

    def note_head(self, name: str, sequence: int) -> bool:
        """Takes note that a change exists; returns whether that is new."""
        newer = sequence > self.heads.get(name, -1)
        if newer:
            self.heads[name] = sequence
        return newer

    async def follow(self, name: str, row: Row) -> None:
        """Takes in what the table has and this daemon has not.

        Args:
          name: The slice.
          row: Its row, just read.
        """
        data = row.body['data']
        newest = int(data.get('services', data.get('sequence', 0)))
        view = self._views.get(name)
        if view is not None and newest <= view.sequence:
            return
        pruned = view and view.sequence + 1 < int(data.get('oldest', 1))
        if view is None or pruned:
            view = await self._load(name)
        await self._read_log(name, view, newest)

    async def _load(self, name: str) -> SliceView:
        # The log is read from before the scan, so that what changes during
        # the scan is put on top of it.
        rows = await self._table.read([make_slice_key(name)])
        data = rows[make_slice_key(name)].body['data']
        sequence = int(data.get('sequence', 0))
        found = await scan_all(self._table, f'task/{name}')
        tasks = [structure(row.body, Task) for row in found]
        known = self._views.get(name)
        if known is not None and known.sequence >= sequence:
            # A peer's answer came meanwhile, and it is newer.
            return known
        return self._replace(name, sequence, tasks)

    def _replace(
        self, name: str, sequence: int, tasks: Iterable[Task]
    ) -> SliceView:
        services = {task.id: task for task in tasks if task.is_service}
        view = SliceView(sequence, sequence, sequence, services)
        self._views[name] = view
        self._directory.load(name, services.values())
        return view

    async def _read_log(self, name: str, view: SliceView, newest: int) -> None:
        while view.sequence < newest:
            after = make_change_key(name, view.sequence)
            rows = await self._table.scan(after.partition, after.sort, PAGE)
            if not rows or self._views.get(name) is not view:
                return
            for row in rows:
                # A peer's answer that came meanwhile may have gone further;
                # older changes on top of it would bring back what is gone.
                if int(row.key.sort) > view.sequence:
                    self._set(name, view, int(row.key.sort), _read_tasks(row))

    def _set(
        self, name: str, view: SliceView, sequence: int, tasks: Iterable[Task]
    ) -> None:
        for task in tasks:
            if task.is_service:
                view.set(sequence, task)
                self._directory.update(name, task)
        view.sequence = sequence

    def answer(self, name: str, after: int) -> peer_pb2.ChangesReply:
        """Answers a peer that knows a slice up to a change."""
        view = self._views.get(name)
        if view is None:
            return peer_pb2.ChangesReply()
        snapshot = after < view.base
        changes = [(view.sequence, task) for task in view.tasks.values()]
        if not snapshot:
            changes = [item for item in view.recent if item[0] > after]
        return peer_pb2.ChangesReply(
            changes=[
                peer_pb2.Change(
                    revision=sequence, path=task.id, body=encode(task)
                )
                for sequence, task in changes
            ],
            newest=view.sequence,
            snapshot=snapshot,
        )

    def take(self, name: str, reply: peer_pb2.ChangesReply) -> None:
        """Takes in a peer's answer; an older one is ignored."""
        view = self._views.get(name)
        if view is not None and reply.newest <= view.sequence:
            return
        if view is None and not reply.snapshot:
            return
        tasks = [
            (change.revision, structure(json.loads(change.body), Task))
            for change in reply.changes
        ]
        if view is None or reply.snapshot:
            self._replace(name, reply.newest, [task for _, task in tasks])
            return
        for sequence, task in tasks:
            if sequence > view.sequence:
                view.set(sequence, task)
                self._directory.update(name, task)
        view.sequence = reply.newest


def _read_tasks(row: Row) -> list[Task]:
    return [task for _, task in read_changes(row)]
