"""Reads resources with their status."""

from __future__ import annotations

import attrs

from lentilmount.batch.records import WorkerRecord, make_worker_key
from lentilmount.codec import structure
from lentilmount.configuration import Configuration
from lentilmount.coordination.table import Table, UnavailableError
from lentilmount.errors import NotFoundError, StoreError
from lentilmount.queries.jobs import JobReader
from lentilmount.queries.pages import ListFilter, Page, make_page
from lentilmount.queries.statuses import (
    make_service_status,
    make_upstream_status,
    make_worker_status,
)
from lentilmount.resources import (
    Kind,
    Metadata,
    Resource,
    ServiceSpec,
    Status,
    UpstreamSpec,
    WorkerSpec,
)
from lentilmount.routing.directory import Upstream, UpstreamDirectory
from lentilmount.slices import find_worker_slice, get_zone

MAX_ROWS = 2000
"""Maximum table rows that one list query reads before its page ends early."""


class Reader:
    """Answers get and list for every kind."""

    def __init__(
        self,
        table: Table,
        configuration: Configuration,
        directory: UpstreamDirectory,
        slices: tuple[str, ...],
    ):
        self._table = table
        self._configuration = configuration
        self._directory = directory
        self._slices = slices
        self._jobs = JobReader(table)

    async def get(self, kind: Kind, team: str, name: str) -> Resource:
        """Returns one resource.

        Raises:
          NotFoundError: There is no such resource.
          StoreError: The table service is unavailable.
        """
        try:
            found = await self._find(kind, team, name)
        except UnavailableError as error:
            raise _make_store_error() from error
        if found is None:
            owner = f'{team}/' if team else ''
            raise NotFoundError(f'there is no {kind.value} {owner}{name}')
        return found

    async def _find(self, kind: Kind, team: str, name: str) -> Resource | None:
        if kind is Kind.JOB:
            return await self._jobs.find(team, name)
        if kind is Kind.WORKER:
            return await self._find_worker(name)
        if kind is Kind.UPSTREAM:
            named = (u for u in self._list_upstreams() if u.path.endswith(name))
            wanted = Metadata(name, team)
            return next((u for u in named if _is_same(u, wanted)), None)
        resource = self._configuration.get(kind, team, name)
        return self._add_service_status(resource) if resource else None

    async def list_page(self, wanted: ListFilter) -> Page:
        """Returns a page of resources, sorted by team and name.

        Workers are sorted by slice and name. A page that is not the last can
        have fewer resources than the limit, or none, as one call reads a
        bounded number of rows.

        Raises:
          StoreError: The table service is unavailable.
        """
        try:
            if wanted.kind is Kind.JOB:
                teams = self._list_job_teams(wanted)
                return await self._jobs.list_page(wanted, teams, MAX_ROWS)
            if wanted.kind is Kind.WORKER:
                return await self._list_workers(wanted)
        except UnavailableError as error:
            raise _make_store_error() from error
        if wanted.kind is Kind.UPSTREAM:
            items = self._list_upstreams()
        else:
            items = [
                self._add_service_status(resource)
                for resource in self._configuration.list_kind(wanted.kind)
            ]
        return make_page(items, wanted)

    def _list_job_teams(self, wanted: ListFilter) -> list[str]:
        """Returns the teams whose jobs are to be listed.

        Without a team in the filter, these are the declared teams, as the table
        does not list teams.
        """
        if wanted.team:
            return [wanted.team]
        declared = self._configuration.list_kind(Kind.TEAM)
        names = (resource.metadata.name for resource in declared)
        return [name for name in names if wanted.can_see(name)]

    async def _find_worker(self, name: str) -> Resource | None:
        zones = sorted({get_zone(name) for name in self._slices})
        per_zone = len(self._slices) // len(zones)
        keys = [
            make_worker_key(find_worker_slice(zone, name, per_zone), name)
            for zone in zones
        ]
        for row in (await self._table.read(keys)).values():
            return self._make_worker(structure(row.body, WorkerRecord))
        return None

    async def _list_workers(self, wanted: ListFilter) -> Page:
        items: list[Resource] = []
        first, _, after = wanted.after.partition('~')
        read = 0
        for slice_name in sorted(self._slices):
            if slice_name < first:
                continue
            start = after if slice_name == first else ''
            while True:
                limit = wanted.limit + 1
                rows = await self._table.scan(
                    f'worker/{slice_name}', start, limit
                )
                read += len(rows)
                for row in rows:
                    if len(items) == wanted.limit:
                        return Page(tuple(items), f'{slice_name}~{start}')
                    start = row.key.sort
                    worker = self._make_worker(
                        structure(row.body, WorkerRecord)
                    )
                    if wanted.accepts(worker):
                        items.append(worker)
                if len(rows) < limit:
                    break
                if read >= MAX_ROWS:
                    return Page(tuple(items), f'{slice_name}~{start}')
        return Page(tuple(items))

    def _make_worker(self, record: WorkerRecord) -> Resource:
        known = self._configuration.get(Kind.WORKER, '', record.name)
        return Resource(
            Kind.WORKER,
            known.metadata if known else Metadata(record.name),
            known.spec if known else WorkerSpec(),
            make_worker_status(record),
        )

    def _add_service_status(self, resource: Resource) -> Resource:
        if not isinstance(resource.spec, ServiceSpec):
            return resource
        metadata = resource.metadata
        name = f'{metadata.team}/{metadata.name}'
        running = len(self._directory.list_service(name))
        status = make_service_status(running, resource.spec.replicas)
        return attrs.evolve(resource, status=status)

    def _list_upstreams(self) -> list[Resource]:
        items = [self._make_upstream(u) for u in self._directory.list_all()]
        return sorted(items, key=lambda item: item.path)

    def _make_upstream(self, upstream: Upstream) -> Resource:
        _, team, rest = upstream.task.split('/', 2)
        name = rest.replace('/', '.')
        known = self._configuration.get(Kind.UPSTREAM, team, name)
        status: Status = make_upstream_status(upstream)
        return Resource(
            Kind.UPSTREAM,
            known.metadata if known else Metadata(name, team),
            known.spec if known else UpstreamSpec(),
            status,
        )


def _is_same(resource: Resource, wanted: Metadata) -> bool:
    metadata = resource.metadata
    return (metadata.team, metadata.name) == (wanted.team, wanted.name)


def _make_store_error() -> StoreError:
    return StoreError('the table service does not answer', retry_after=2.0)
