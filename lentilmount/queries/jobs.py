"""Reads jobs: the accepted job, with the status that its slice recorded."""

from __future__ import annotations

import attrs

from lentilmount.batch.records import Task, make_done_key, make_task_key
from lentilmount.codec import structure, structure_resource
from lentilmount.coordination.table import Row, Table
from lentilmount.queries.pages import ListFilter, Page, make_sort_key
from lentilmount.queries.statuses import make_status
from lentilmount.resources import Resource
from lentilmount.rows import is_deleted, make_job_key, make_task_id

READ_AT_ONCE = 50
"""Jobs per status read: two rows each, and a read is limited to 100 rows."""


class JobReader:
    """Answers get and list for jobs."""

    def __init__(self, table: Table):
        self._table = table

    async def find(self, team: str, name: str) -> Resource | None:
        """Returns a job, or None."""
        key = make_job_key(team, name)
        rows = await self._table.read([key])
        jobs = await self._add_status(list(rows.values()))
        return jobs[0] if jobs else None

    async def list_page(
        self, wanted: ListFilter, teams: list[str], max_rows: int
    ) -> Page:
        """Returns a page of jobs.

        Args:
          wanted: Filter and page limit.
          teams: Teams whose jobs are listed.
          max_rows: Maximum rows to read before the page ends early.
        """
        items: list[Resource] = []
        first, _, after = wanted.after.partition('/')
        read = 0
        for team in sorted(teams):
            if team < first:
                continue
            last_key = after if team == first else ''
            last_key = max(last_key, _make_preceding_key(wanted.name))
            while True:
                rows = await self._table.scan(
                    f'job/{team}', last_key, READ_AT_ONCE
                )
                read += len(rows)
                for job in await self._add_status(rows):
                    if not wanted.accepts(job):
                        continue
                    if len(items) == wanted.limit:
                        return Page(tuple(items), make_sort_key(items[-1]))
                    items.append(job)
                if len(rows) < READ_AT_ONCE or _is_past(rows, wanted.name):
                    break
                last_key = rows[-1].key.sort
                if read >= max_rows:
                    return Page(tuple(items), f'{team}/{last_key}')
        return Page(tuple(items))

    async def _add_status(self, rows: list[Row]) -> list[Resource]:
        kept = [row for row in rows if not is_deleted(row)]
        if not kept:
            return []
        resources = [structure_resource(row.body['resource']) for row in kept]
        keys = []
        for row, resource in zip(kept, resources, strict=True):
            metadata = resource.metadata
            task_id = make_task_id(metadata.team, metadata.name)
            slice_name = row.body['slice']
            keys.append(
                (
                    make_task_key(slice_name, task_id),
                    make_done_key(slice_name, task_id),
                )
            )
        found = await self._table.read([k for pair in keys for k in pair])
        return [
            _set_status(resource, found.get(live), found.get(done))
            for resource, (live, done) in zip(resources, keys, strict=True)
        ]


def _make_preceding_key(prefix: str) -> str:
    """Returns a key that sorts directly before all names with a prefix.

    It ends with a tilde, which sorts after every character allowed in names.
    """
    if not prefix:
        return ''
    return f'{prefix[:-1]}{chr(ord(prefix[-1]) - 1)}~'


def _is_past(rows: list[Row], prefix: str) -> bool:
    last = rows[-1].key.sort
    return not last.startswith(prefix) and last > prefix


def _set_status(
    resource: Resource, live: Row | None, done: Row | None
) -> Resource:
    if done is not None:
        task = structure(done.body['task'], Task)
    elif live is not None:
        task = structure(live.body, Task)
    else:
        return resource
    return attrs.evolve(resource, status=make_status(task))
