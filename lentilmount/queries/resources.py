"""Reading resources with their status."""

from __future__ import annotations

import attrs

from lentilmount.batch.records import (
    Task,
    WorkerRecord,
    make_done_key,
    make_task_key,
)
from lentilmount.codec import structure, structure_resource
from lentilmount.commands.jobs import make_task_id
from lentilmount.configuration import Configuration
from lentilmount.coordination.table import (
    Row,
    Table,
    UnavailableError,
    scan_all,
)
from lentilmount.errors import NotFoundError, StoreError
from lentilmount.resources import (
    Condition,
    Kind,
    Metadata,
    Phase,
    Resource,
    ServiceSpec,
    Status,
    UpstreamSpec,
)
from lentilmount.routing.directory import Directory
from lentilmount.rows import make_job_key

READ_AT_ONCE = 50


@attrs.frozen
class Page:
    """Some resources, and the name to go on after, or ''."""

    items: tuple[Resource, ...]
    next: str = ''


class Reader:
    """Answers get and list for every kind."""

    def __init__(
        self,
        table: Table,
        configuration: Configuration,
        directory: Directory,
        slices: tuple[str, ...],
    ):
        self._table = table
        self._configuration = configuration
        self._directory = directory
        self._slices = slices

    async def get(self, kind: Kind, team: str, name: str) -> Resource:
        """Returns one resource.

        Raises:
          NotFoundError: There is no such resource.
          StoreError: The table does not answer.
        """
        try:
            found = await self._find(kind, team, name)
        except UnavailableError as error:
            raise StoreError('the table service does not answer') from error
        if found is None:
            raise NotFoundError(f'there is no {kind.value} {team}/{name}')
        return found

    async def _find(self, kind: Kind, team: str, name: str) -> Resource | None:
        if kind is Kind.JOB:
            key = make_job_key(team, name)
            rows = await self._table.read([key])
            jobs = await self._add_status(list(rows.values()))
            return jobs[0] if jobs else None
        if kind in (Kind.WORKER, Kind.UPSTREAM):
            page = await self.list_page(kind, team)
            return next(
                (r for r in page.items if r.metadata.name == name), None
            )
        resource = self._configuration.get(kind, team, name)
        return self._add_service_status(resource) if resource else None

    async def list_page(
        self, kind: Kind, team: str, after: str = '', limit: int = 100
    ) -> Page:
        """Returns a page of the resources of one kind and team.

        Raises:
          StoreError: The table does not answer.
        """
        try:
            if kind is Kind.JOB:
                return await self._list_jobs(team, after, limit)
            if kind is Kind.WORKER:
                items = await self._list_workers()
            elif kind is Kind.UPSTREAM:
                items = self._list_upstreams(team)
            else:
                items = [
                    self._add_service_status(resource)
                    for resource in self._configuration.list_kind(kind)
                    if resource.metadata.team == team
                ]
        except UnavailableError as error:
            raise StoreError('the table service does not answer') from error
        later = [item for item in items if item.metadata.name > after]
        return _make_page(later, limit)

    async def _list_jobs(self, team: str, after: str, limit: int) -> Page:
        rows = await self._table.scan(f'job/{team}', after, limit + 1)
        jobs = await self._add_status(rows[:limit])
        more = len(rows) > limit
        return Page(tuple(jobs), jobs[-1].metadata.name if more else '')

    async def _add_status(self, rows: list[Row]) -> list[Resource]:
        jobs = []
        for start in range(0, len(rows), READ_AT_ONCE):
            some = rows[start : start + READ_AT_ONCE]
            jobs += await self._add_some_status(some)
        return jobs

    async def _add_some_status(self, rows: list[Row]) -> list[Resource]:
        resources = [structure_resource(row.body['resource']) for row in rows]
        keys = []
        for row, resource in zip(rows, resources, strict=True):
            task_id = make_task_id(
                resource.metadata.team, resource.metadata.name
            )
            where = row.body['slice']
            keys.append(
                (make_task_key(where, task_id), make_done_key(where, task_id))
            )
        found = await self._table.read([k for pair in keys for k in pair])
        return [
            _set_status(resource, found.get(live), found.get(done))
            for resource, (live, done) in zip(resources, keys, strict=True)
        ]

    def _add_service_status(self, resource: Resource) -> Resource:
        if not isinstance(resource.spec, ServiceSpec):
            return resource
        metadata = resource.metadata
        upstreams = self._directory.list_service(
            f'{metadata.team}/{metadata.name}'
        )
        running, wanted = len(upstreams), resource.spec.replicas
        status = Status(
            phase=Phase.RUNNING if running else Phase.PENDING,
            reason=f'{running} of {wanted} replicas run',
            conditions=(Condition('Complete', f'{running}/{wanted}'),),
        )
        return attrs.evolve(resource, status=status)

    async def _list_workers(self) -> list[Resource]:
        workers = []
        for name in self._slices:
            for row in await scan_all(self._table, f'worker/{name}'):
                record = structure(row.body, WorkerRecord)
                workers.append(self._make_worker(record))
        return sorted(workers, key=lambda w: w.metadata.name)

    def _make_worker(self, record: WorkerRecord) -> Resource:
        spec = self._configuration.get_worker(record.name)
        known = self._configuration.get(Kind.WORKER, '', record.name)
        free = record.free
        conditions = [
            Condition('Free', f'{free.cores:g} cores, {free.memory_mb} MiB'),
            Condition('Zone', record.zone),
        ]
        if record.quarantined:
            conditions.append(Condition('Quarantined', record.quarantined))
        if record.leaving:
            conditions.append(Condition('Leaving'))
        return Resource(
            Kind.WORKER,
            known.metadata if known else Metadata(record.name),
            spec,
            Status(
                phase=Phase.RUNNING,
                reason=f'{len(record.commitments)} tasks',
                worker=record.name,
                conditions=tuple(conditions),
            ),
        )

    def _list_upstreams(self, team: str) -> list[Resource]:
        items = [
            Resource(
                Kind.UPSTREAM,
                Metadata(
                    upstream.task.split('/', 2)[2].replace('/', '.'), team
                ),
                UpstreamSpec(),
                Status(
                    phase=Phase.RUNNING,
                    attempt=upstream.attempt,
                    worker=upstream.worker,
                    conditions=(
                        Condition('Zone', upstream.zone),
                        Condition('Address', upstream.address),
                    ),
                ),
            )
            for upstream in self._directory.list_all()
            if upstream.service.startswith(team + '/')
        ]
        return sorted(items, key=lambda item: item.metadata.name)


def _set_status(
    resource: Resource, live: Row | None, done: Row | None
) -> Resource:
    if done is not None:
        task = structure(done.body['task'], Task)
    elif live is not None:
        task = structure(live.body, Task)
    else:
        return resource
    status = Status(
        phase=task.phase,
        reason=task.reason,
        attempt=task.attempt,
        worker=task.worker,
        evictions=task.evictions,
        output=task.output,
    )
    return attrs.evolve(resource, status=status)


def _make_page(items: list[Resource], limit: int) -> Page:
    page = tuple(items[:limit])
    more = len(items) > limit
    return Page(page, page[-1].metadata.name if more else '')
