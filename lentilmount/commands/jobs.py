"""Submitting and cancelling jobs: a request in a slice's inbox."""

from __future__ import annotations

import time

import attrs

from lentilmount.batch.inbox import Request, Wish, make_request_put
from lentilmount.batch.records import Task
from lentilmount.codec import structure_resource
from lentilmount.coordination.table import (
    ConflictError,
    Put,
    Row,
    Table,
    UnavailableError,
)
from lentilmount.coordination.transactions import commit, make_token
from lentilmount.errors import ConflictError as RaceError
from lentilmount.errors import (
    FieldProblem,
    InvalidError,
    NotFoundError,
    StoreError,
)
from lentilmount.resources import JobSpec, Kind, Resource, Urgency, make_path
from lentilmount.rows import encode_resource, make_job_key
from lentilmount.slices import get_zone, rank_by_hash

RETRY_AFTER_SECONDS = 2.0

# An inbox is read in the order of its keys. A cancellation is accepted only
# after its job, and sorts behind every job, so it never comes first.
_URGENT, _BATCH, _CANCEL = '0', '1', '2'


def make_task_id(team: str, name: str) -> str:
    """Id of a job's only task."""
    return f'{make_path(Kind.JOB, team, name)}/0'


@attrs.frozen
class Submitted:
    """The answer to a command on a job: the slice whose owner carries on."""

    slice_name: str
    resource: Resource
    changed: bool


class JobDesk:
    """Accepts jobs and cancellations."""

    def __init__(self, table: Table, slices: tuple[str, ...]):
        self._table = table
        self._slices = slices

    async def submit(self, resource: Resource) -> Submitted:
        """Accepts a job; the same job again changes nothing.

        Raises:
          ConflictError: There is another job of that name.
          InvalidError: No slice is in the zone that it asks for.
          StoreError: Not known whether it was accepted; send it again.
        """
        spec = resource.spec
        assert isinstance(spec, JobSpec)
        slice_name = self._choose_slice(resource, spec)
        metadata = attrs.evolve(resource.metadata, revision=1)
        resource = attrs.evolve(resource, metadata=metadata)
        key = make_job_key(metadata.team, metadata.name)
        task = _make_task(resource, spec)
        body = {'resource': encode_resource(resource), 'slice': slice_name}
        order = _URGENT if spec.urgency is Urgency.URGENT else _BATCH
        request = make_request_put(
            slice_name,
            _make_order(order),
            Request(Wish.SUBMIT, task.id, task),
        )
        try:
            await commit(self._table, [Put(key, body), request], key)
        except ConflictError:
            return await self._find_twin(resource)
        except UnavailableError as error:
            raise _make_store_error() from error
        return Submitted(slice_name, resource, True)

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
        return rank_by_hash(resource.path, slices)[0]

    async def _find_twin(self, resource: Resource) -> Submitted:
        row = await self._read(resource.metadata.team, resource.metadata.name)
        twin = structure_resource(row.body['resource'])
        if twin.spec != resource.spec:
            raise RaceError(
                f'{resource.path} exists with another spec; a job cannot be '
                f'changed: give the new one another name',
                extra={'given_revision': 0, 'current_revision': 1},
            )
        return Submitted(row.body['slice'], twin, False)

    async def cancel(self, team: str, name: str) -> Submitted:
        """Accepts a cancellation.

        Raises:
          NotFoundError: There is no such job.
          StoreError: Not known whether it was accepted; send it again.
        """
        row = await self._read(team, name)
        request = make_request_put(
            row.body['slice'],
            _make_order(_CANCEL),
            Request(Wish.CANCEL, make_task_id(team, name)),
        )
        try:
            await commit(self._table, [request], request.key)
        except UnavailableError as error:
            raise _make_store_error() from error
        resource = structure_resource(row.body['resource'])
        return Submitted(row.body['slice'], resource, True)

    async def _read(self, team: str, name: str) -> Row:
        key = make_job_key(team, name)
        try:
            rows = await self._table.read([key])
        except UnavailableError as error:
            raise _make_store_error() from error
        if key not in rows:
            raise NotFoundError(f'there is no job {team}/{name}')
        return rows[key]


def _make_task(resource: Resource, spec: JobSpec) -> Task:
    return Task(
        id=make_task_id(resource.metadata.team, resource.metadata.name),
        demand=spec.demand,
        job_class=spec.job_class,
        urgency=spec.urgency,
        payload=spec.payload,
        expected_seconds=spec.expected_seconds,
        accepted=time.time(),
    )


def _make_order(rank: str) -> str:
    return f'{rank}-{int(time.time() * 1000):013d}-{make_token()}'


def _make_store_error() -> StoreError:
    return StoreError(
        'the table service does not answer; send the command again',
        retry_after=RETRY_AFTER_SECONDS,
    )
