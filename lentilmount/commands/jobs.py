"""Submits, cancels and deletes jobs by requests in the inbox of a slice."""

from __future__ import annotations

import time

import attrs

from lentilmount.batch.inbox import Request, RequestKind, make_request_put
from lentilmount.batch.records import Task, make_done_key
from lentilmount.batch.shapes import WorkerShapes
from lentilmount.codec import structure_resource
from lentilmount.coordination.table import (
    ConflictError,
    Delete,
    Operation,
    Put,
    Row,
    Table,
    UnavailableError,
)
from lentilmount.coordination.transactions import commit, make_token
from lentilmount.errors import ConflictError as ResourceConflictError
from lentilmount.errors import (
    FieldProblem,
    InvalidError,
    NotFoundError,
    StoreError,
)
from lentilmount.resources import JobSpec, Resource, Urgency
from lentilmount.rows import (
    encode_resource,
    is_deleted,
    make_job_key,
    make_task_id,
    make_tombstone,
)
from lentilmount.slices import get_zone, rank_by_hash

RETRY_AFTER_SECONDS = 2.0

JOB_REVISION = 1
"""Revision of every job: the spec of a job never changes."""

# An inbox is read in key order. A cancellation is accepted only after its job
# and sorts after all jobs, so it is never read before its job.
_URGENT, _BATCH, _CANCEL = '0', '1', '2'


@attrs.frozen
class JobResult:
    """The result of a command on a job, with the slice that runs the job."""

    slice_name: str
    resource: Resource
    changed: bool


class JobCommands:
    """Accepts submissions, cancellations and deletions of jobs."""

    def __init__(self, table: Table, slices: tuple[str, ...]):
        self._table = table
        self._slices = slices
        self._shapes = WorkerShapes(table, slices, time.monotonic)

    async def submit(self, resource: Resource) -> JobResult:
        """Accepts a job; idempotent if the same job is submitted again.

        Raises:
          ConflictError: A job with that name but another spec exists, or the
            name belonged to a deleted job.
          InvalidError: The requested zone has no slice.
          StoreError: The outcome is unknown; submit the job again.
        """
        spec = resource.spec
        assert isinstance(spec, JobSpec)
        await self._shapes.refresh()
        slice_name = self._choose_slice(resource, spec)
        _check_revision(resource)
        metadata = attrs.evolve(resource.metadata, revision=JOB_REVISION)
        resource = attrs.evolve(resource, metadata=metadata)
        key = make_job_key(metadata.team, metadata.name)
        task = _make_task(resource, spec)
        body = {'resource': encode_resource(resource), 'slice': slice_name}
        rank = _URGENT if spec.urgency is Urgency.URGENT else _BATCH
        request = make_request_put(
            slice_name,
            _make_inbox_key(rank),
            Request(RequestKind.SUBMIT, task.id, task),
        )
        try:
            await commit(self._table, [Put(key, body), request], key)
        except ConflictError:
            return await self._find_existing(resource)
        except UnavailableError as error:
            raise _make_store_error() from error
        return JobResult(slice_name, resource, True)

    async def preview(self, resource: Resource) -> Resource | None:
        """Checks a job as `submit` does, without writing.

        Returns:
          The current job, or None if it does not exist.

        Raises:
          LentilmountError: The errors that `submit` raises.
        """
        spec = resource.spec
        assert isinstance(spec, JobSpec)
        self._choose_slice(resource, spec)
        _check_revision(resource)
        try:
            return (await self._find_existing(resource)).resource
        except NotFoundError:
            return None

    def _choose_slice(self, resource: Resource, spec: JobSpec) -> str:
        slices = [
            name
            for name in self._slices
            if not spec.zone or get_zone(name) == spec.zone
        ]
        if not slices:
            raise InvalidError(
                f'spec.zone: there is no availability zone {spec.zone}',
                fields=(
                    FieldProblem(
                        'spec.zone',
                        f'there is no availability zone {spec.zone}',
                        'use one of '
                        + ', '.join(sorted({*map(get_zone, self._slices)})),
                    ),
                ),
            )
        suitable = self._shapes.select(spec.demand, slices)
        return rank_by_hash(resource.path, suitable)[0]

    async def _find_existing(self, resource: Resource) -> JobResult:
        metadata = resource.metadata
        row = await self._find(metadata.team, metadata.name)
        if is_deleted(row):
            raise ResourceConflictError(
                f'{resource.path} was deleted, and the names of jobs are not '
                f'used again; give the new one another name',
                extra={'given_revision': metadata.revision},
            )
        existing = structure_resource(row.body['resource'])
        if existing.spec != resource.spec:
            raise ResourceConflictError(
                f'{resource.path} exists with another spec; a job cannot be '
                f'changed: give the new one another name',
                extra={
                    'given_revision': metadata.revision,
                    'current_revision': JOB_REVISION,
                },
            )
        return JobResult(row.body['slice'], existing, False)

    async def cancel(self, team: str, name: str) -> JobResult:
        """Accepts a cancellation; has no effect on a finished job.

        Raises:
          NotFoundError: There is no such job.
          StoreError: The outcome is unknown; cancel the job again.
        """
        row = await self._read(team, name)
        resource = structure_resource(row.body['resource'])
        if await self._find_done(row, team, name) is not None:
            return JobResult(row.body['slice'], resource, False)
        request = make_request_put(
            row.body['slice'],
            _make_inbox_key(_CANCEL),
            Request(RequestKind.CANCEL, make_task_id(team, name)),
        )
        try:
            await commit(self._table, [request], request.key)
        except UnavailableError as error:
            raise _make_store_error() from error
        return JobResult(row.body['slice'], resource, True)

    async def delete(self, team: str, name: str) -> JobResult:
        """Deletes a finished job.

        The row stays as a tombstone without the spec, which reserves the name:
        a new job of the same name would have the same task id, and late worker
        reports about the old attempts could be attributed to it.

        Raises:
          NotFoundError: There is no such job.
          ConflictError: The job is not finished.
          StoreError: The outcome is unknown; delete the job again.
        """
        row = await self._read(team, name)
        done = await self._find_done(row, team, name)
        if done is None:
            raise ResourceConflictError(
                f'the job {team}/{name} is not over; cancel it'
            )
        slice_name = row.body['slice']
        tombstone = make_tombstone(slice_name)
        operations: list[Operation] = [
            Put(row.key, tombstone, row.version),
            Delete(done.key, done.version),
        ]
        try:
            await commit(self._table, operations, row.key)
        except ConflictError as error:
            raise NotFoundError(f'there is no job {team}/{name}') from error
        except UnavailableError as error:
            raise _make_store_error() from error
        resource = structure_resource(row.body['resource'])
        return JobResult(slice_name, resource, True)

    async def _find_done(self, row: Row, team: str, name: str) -> Row | None:
        key = make_done_key(row.body['slice'], make_task_id(team, name))
        try:
            return (await self._table.read([key])).get(key)
        except UnavailableError as error:
            raise _make_store_error() from error

    async def _read(self, team: str, name: str) -> Row:
        row = await self._find(team, name)
        if is_deleted(row):
            raise NotFoundError(f'there is no job {team}/{name}')
        return row

    async def _find(self, team: str, name: str) -> Row:
        key = make_job_key(team, name)
        try:
            rows = await self._table.read([key])
        except UnavailableError as error:
            raise _make_store_error() from error
        if key not in rows:
            raise NotFoundError(f'there is no job {team}/{name}')
        return rows[key]


def _check_revision(resource: Resource) -> None:
    given = resource.metadata.revision
    if given not in (0, JOB_REVISION):
        raise ResourceConflictError(
            f'{resource.path} can only be at revision {JOB_REVISION}, not '
            f'{given}: a job cannot be changed',
            extra={'given_revision': given, 'current_revision': JOB_REVISION},
        )


def _make_task(resource: Resource, spec: JobSpec) -> Task:
    return Task(
        id=make_task_id(resource.metadata.team, resource.metadata.name),
        demand=spec.demand,
        job_class=spec.job_class,
        urgency=spec.urgency,
        payload=spec.payload,
        expected_seconds=spec.expected_seconds,
        zone=spec.zone,
        accepted=time.time(),
    )


def _make_inbox_key(rank: str) -> str:
    return f'{rank}-{int(time.time() * 1000):013d}-{make_token()}'


def _make_store_error() -> StoreError:
    return StoreError(
        'the table service does not answer; send the command again',
        retry_after=RETRY_AFTER_SECONDS,
    )
