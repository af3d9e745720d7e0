"""Tracks the services of each slice through its change log in the table.

Changes come from the table or from a peer that has read them already.
"""

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

PAGE_ROWS = 200
RECENT_CHANGES = 200
"""Maximum number of changes of a slice kept for peers. A peer that lacks more
receives a snapshot."""


@attrs.define
class SliceView:
    """The services of one slice, up to a position in its log.

    Attributes:
      sequence: Sequence number up to which the slice's log is applied.
      newest: Sequence number of the newest applied change of a service.
      base: Sequence number after which `recent` is complete.
      tasks: Replicas that have not ended, by id.
      recent: Newest changes, with their sequence numbers.
    """

    sequence: int
    newest: int
    base: int
    tasks: dict[str, Task] = attrs.Factory(dict)
    recent: collections.deque[tuple[int, Task]] = attrs.Factory(
        collections.deque
    )

    def apply_change(self, sequence: int, task: Task) -> None:
        """Applies one change."""
        if task.phase in FINAL_PHASES:
            self.tasks.pop(task.id, None)
        else:
            self.tasks[task.id] = task
        self.newest = sequence
        self.recent.append((sequence, task))
        if len(self.recent) > RECENT_CHANGES:
            self.base = self.recent.popleft()[0]


class SliceLogs:
    """Applies the logs of slices to the upstream directory.

    Only replicas of services are kept, since routing needs no tasks of jobs.

    Attributes:
      heads: Newest known sequence number of each slice's log, whether applied
        or not.
    """

    def __init__(self, table: Table, directory: UpstreamDirectory):
        self.heads: dict[str, int] = {}
        self._table = table
        self._directory = directory
        self._views: dict[str, SliceView] = {}

    def get_sequence(self, name: str) -> int:
        """Returns the position up to which a slice's log is applied, or -1."""
        view = self._views.get(name)
        return view.sequence if view else -1

    def list_services(self) -> dict[str, int]:
        """Returns the number of the newest change of a service, by slice."""
        return {name: view.newest for name, view in self._views.items()}

    def update_head(self, name: str, sequence: int) -> bool:
        """Records that a change exists; returns whether it is the newest."""
        newer = sequence > self.heads.get(name, -1)
        if newer:
            self.heads[name] = sequence
        return newer

    async def read_new_changes(self, name: str, row: Row) -> None:
        """Reads and applies the changes that this daemon lacks.

        Args:
          name: The slice's name.
          row: The slice's row, just read.
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
        # The position is read before the scan, so that changes during the
        # scan are applied on top of its result.
        rows = await self._table.read([make_slice_key(name)])
        data = rows[make_slice_key(name)].body['data']
        sequence = int(data.get('sequence', 0))
        found = await scan_all(self._table, f'task/{name}')
        tasks = [structure(row.body, Task) for row in found]
        known = self._views.get(name)
        if known is not None and known.sequence >= sequence:
            # A reply of a peer was applied meanwhile, and it is newer.
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
            rows = await self._table.scan(
                after.partition, after.sort, PAGE_ROWS
            )
            if not rows or self._views.get(name) is not view:
                return
            for row in rows:
                # A reply of a peer applied meanwhile may be newer; older
                # changes on top of it would restore replicas that ended.
                if int(row.key.sort) > view.sequence:
                    self._apply_changes(
                        name, view, int(row.key.sort), _read_tasks(row)
                    )

    def _apply_changes(
        self, name: str, view: SliceView, sequence: int, tasks: Iterable[Task]
    ) -> None:
        for task in tasks:
            if task.is_service:
                view.apply_change(sequence, task)
                self._directory.update(name, task)
        view.sequence = sequence

    def answer(self, name: str, after: int) -> peer_pb2.ChangesReply:
        """Returns a slice's changes after a sequence number, or a snapshot."""
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

    def apply_reply(self, name: str, reply: peer_pb2.ChangesReply) -> None:
        """Applies a peer's reply; ignores one that brings nothing newer."""
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
                view.apply_change(sequence, task)
                self._directory.update(name, task)
        view.sequence = reply.newest


def _read_tasks(row: Row) -> list[Task]:
    return [task for _, task in read_changes(row)]
