"""Decodes the documents of operators, clients and workers."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs
import orjson

from lentilmount.errors import FieldProblem, InvalidError
from lentilmount.resources import Room
from lentilmount.scheduling.reports import (
    EndKind,
    EndReport,
    RunReport,
    WorkerEntry,
    WorkerReport,
    WorkerState,
)
from lentilmount.scheduling.specs import JobSpec, QueuePolicy, StepSpec

MAX_LISTED_ENDS = 500
"""Number of run ends that a worker lists at a time."""

MAX_TASKS = 10_000
"""Largest number of tasks of an accepted job, to bound its memory."""


@attrs.frozen
class Route:
    """The route to a queue, as operators configure it.

    Attributes:
      host: Host header of its requests.
      prefix: Prefix of the path of its requests.
      policy: Scheduling policy of its jobs.
    """

    host: str
    prefix: str
    policy: QueuePolicy


@attrs.frozen
class RoutingConfiguration:
    """The operators' configuration.

    Attributes:
      version: Version number, which rises with each change.
      routes: Routes to all queues.
      services: Names of the services, which are pools of workers.
      body_bytes: Maximum size of a request body in bytes.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[str, ...]
    body_bytes: int


def decode_configuration(value: bytes) -> RoutingConfiguration:
    """Decodes the operators' configuration.

    Raises:
      InvalidError: The configuration is malformed.
    """
    try:
        document = orjson.loads(value)
        limits = document.get('limits') or {}
        return RoutingConfiguration(
            version=int(document['version']),
            routes=tuple(_decode_route(r) for r in document['routes']),
            services=tuple(s['name'] for s in document['services']),
            body_bytes=int(limits.get('maxBodyBytes') or 262144),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise InvalidError(f'configuration: {error!r}') from error


def _decode_route(route: Mapping[str, Any]) -> Route:
    policy = QueuePolicy(
        name=route['name'],
        service=route['service'],
        priority=int(route.get('priority') or 0),
        max_attempts=max(1, int(route.get('maxAttempts') or 1)),
        stretch=float(route.get('stretch') or 1.0),
        target_seconds=float(route.get('targetLatencyMs') or 0) / 1000,
        advised=bool(route.get('recommendation')),
    )
    return Route(route['hostname'], route['pathPrefix'], policy)


def _decode_room(document: Mapping[str, Any]) -> Room:
    # 'cpu' is in thousandths of a core, 'gpu' counts whole accelerators.
    return Room(
        cores=float(document.get('cpu') or 0) / 1000,
        memory_mb=int(document.get('memMb') or 0),
        accelerators=int(document.get('gpu') or 0),
    )


def decode_submission(
    job_id: str, body: bytes, policy: QueuePolicy, accepted: float
) -> JobSpec:
    """Decodes a job that a client submits.

    Raises:
      InvalidError: The body is not JSON, or a field is invalid; the error names
        the field.
    """
    try:
        document = orjson.loads(body)
    except ValueError as error:
        raise InvalidError(f'the body is not JSON: {error}') from error
    if not isinstance(document, dict):
        raise _make_error('', 'must be an object')
    return _decode_spec(job_id, document, policy, accepted)


def _make_error(field: str, problem: str) -> InvalidError:
    found = FieldProblem(field or 'body', problem)
    return InvalidError(str(found), fields=(found,))


def _decode_spec(
    job_id: str, document: dict[str, Any], policy: QueuePolicy, accepted: float
) -> JobSpec:
    # 'spec' is the payload of all tasks, opaque to the scheduler.
    payload = document.get('spec') or ''
    steps = document.get('steps')
    if not isinstance(payload, str):
        raise _make_error('spec', 'must be a text')
    if not isinstance(steps, list) or not steps:
        raise _make_error('steps', 'must be a list that is not empty')
    decoded = tuple(_decode_step(n, step) for n, step in enumerate(steps))
    if sum(step.count for step in decoded) > MAX_TASKS:
        raise _make_error('steps', f'has more than {MAX_TASKS} tasks')
    try:
        return JobSpec(
            id=job_id,
            payload=payload,
            steps=decoded,
            queue=policy,
            accepted=accepted,
            # 'runCount' is the number of occurrences, not of task starts.
            occurrences=int(document.get('runCount') or 0),
            first=float(document.get('startTimeMs') or 0) / 1000,
            interval=float(document.get('intervalMs') or 0) / 1000,
        )
    except (TypeError, ValueError) as error:
        raise _make_error(
            'runCount, startTimeMs, intervalMs', str(error)
        ) from (error)


def _decode_step(number: int, step: Any) -> StepSpec:
    name = f'steps[{number}]'
    if not isinstance(step, dict):
        raise _make_error(name, 'must be an object')
    try:
        after = tuple(int(before) for before in step.get('after') or ())
        count = int(step.get('count') or 0)
        spec = StepSpec(
            count=count,
            demand=_decode_room(step),
            estimated_seconds=float(step.get('estimatedMs') or 0) / 1000,
            after=after,
            checkpointing=bool(step.get('checkpointing')),
            gang=bool(step.get('gang')),
            same_rack=bool(step.get('sameRack')),
            # 'requirements' is a single label, despite the plural.
            label=str(step.get('requirements') or ''),
            # 'affinity' is the rack that holds the data, not another task.
            rack=str(step.get('affinity') or ''),
            # 'antiAffinity' is the maximum number of tasks per worker, not a
            # group to avoid.
            most_per_worker=int(step.get('antiAffinity') or 0),
            duplicates=bool(step.get('allowDuplicates')),
            lasting=bool(step.get('longRunning')),
            image=str(step.get('image') or ''),
            target_ms=float(step.get('targetMs') or 0),
            fills=bool(step.get('fills')),
            may_miss=int(step['mayMiss']) if 'mayMiss' in step else None,
        )
    except (TypeError, ValueError) as error:
        raise _make_error(name, str(error)) from error
    if count < 1:
        raise _make_error(f'{name}.count', 'must be 1 or more')
    if any(not 0 <= before < number for before in after):
        raise _make_error(f'{name}.after', 'must list earlier steps')
    return spec


def encode_job_row(spec: JobSpec) -> dict[str, Any]:
    """Encodes a job as the body of its row; default values are left out."""
    return attrs.asdict(spec, filter=_is_set)


def _is_set(attribute: attrs.Attribute[Any], value: Any) -> bool:
    return bool(value != attribute.default)


def decode_job_row(body: Mapping[str, Any]) -> JobSpec:
    """Decodes the body of a job's row.

    Fields that only later versions write are passed over.
    """
    steps = tuple(
        StepSpec(
            **{
                **_select_fields(StepSpec, step),
                'demand': Room(**_select_fields(Room, step['demand'])),
                'after': tuple(step.get('after', ())),
            }
        )
        for step in body['steps']
    )
    queue = QueuePolicy(**_select_fields(QueuePolicy, body['queue']))
    fields = _select_fields(JobSpec, body)
    return JobSpec(**{**fields, 'steps': steps, 'queue': queue})


def _select_fields(
    cls: type[attrs.AttrsInstance], document: Mapping[str, Any]
) -> dict[str, Any]:
    known = attrs.fields_dict(cls)
    return {name: v for name, v in document.items() if name in known}


def decode_registration(worker_id: str, value: bytes) -> WorkerEntry | None:
    """Decodes a worker's registration; None if it is malformed."""
    try:
        document = orjson.loads(value)
        labels = tuple(document.get('labels') or ())
        if not all(isinstance(label, str) for label in labels):
            return None
        address = document['address']
        service = document['service']
        zone = document['zone']
        if not all(isinstance(t, str) and t for t in (address, service, zone)):
            return None
        remaining_ms = document.get('remainingMs')
        return WorkerEntry(
            id=worker_id,
            started_ms=int(document.get('born') or 0),
            address=address,
            service=service,
            zone=zone,
            state=WorkerState(document['state']),
            capacity=_decode_capacity(document['capacity']),
            labels=labels,
            # 'remainingMs' is the least time that the worker stays.
            drain_seconds=None
            if remaining_ms is None
            else float(remaining_ms) / 1000,
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def _decode_capacity(document: Mapping[str, Any]) -> Room:
    """Decodes the capacity of a worker.

    Raises:
      ValueError: An amount is not a number, or negative.
    """
    amounts = [document.get(name) or 0 for name in ('cpu', 'memMb', 'gpu')]
    if not all(type(a) in (int, float) and a >= 0 for a in amounts):
        raise ValueError(f'capacity: {document!r}')
    return _decode_room(document)


def decode_worker_report(body: bytes) -> WorkerReport:
    """Decodes a worker's answer to a poll.

    Raises:
      ValueError: The body is malformed.
    """
    document = orjson.loads(body)
    try:
        started_ms = document.get('born')
        ended = document.get('ended') or ()
        return WorkerReport(
            started_ms=None if started_ms is None else int(started_ms),
            clock_ms=int(document['clockMs']),
            running=tuple(map(_decode_running, document.get('running') or ())),
            ended=tuple(
                EndReport(
                    int(n), task, int(run), EndKind(kind), checkpoint or ''
                )
                for n, task, run, kind, checkpoint in ended
            ),
            has_all_ends=len(ended) < MAX_LISTED_ENDS,
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"worker's report is malformed: {error!r}") from error


def _decode_running(row: list[Any]) -> RunReport:
    # The fourth entry is progress, not the CPU share set by throttling.
    task, run, checkpoint, progress = row[:4]
    # The fifth entry is the tail latency in ms for a serving task, and the CPU
    # usage in thousandths of a core for all others. `usage` keeps this unit;
    # the task's step determines which one applies.
    figure = float(row[4]) if len(row) > 4 else None
    return RunReport(task, int(run), checkpoint or '', int(progress), figure)
