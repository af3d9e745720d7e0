"""What operators, clients and workers write, decoded into our own types."""

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

MAX_TASKS = 10_000
"""Most tasks of one job that are accepted; a bound on the memory of one."""


@attrs.frozen
class Route:
    """A queue as operators declare it.

    Attributes:
      host: Value of the Host header.
      prefix: What paths begin with.
      policy: How its jobs are treated.
    """

    host: str
    prefix: str
    policy: QueuePolicy


@attrs.frozen
class RoutingConfiguration:
    """The configuration in force.

    Attributes:
      version: Raised by each change.
      routes: All queues.
      services: Names of the pools of workers.
      body_bytes: Longest body of a request.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[str, ...]
    body_bytes: int


def decode_configuration(value: bytes) -> RoutingConfiguration:
    """Decodes the operators' configuration.

    Raises:
      InvalidError: It is not in the form agreed.
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
    """Decodes a job that a client hands in.

    Raises:
      InvalidError: Naming the field that is wrong.
    """
    try:
        document = orjson.loads(body)
    except ValueError as error:
        raise InvalidError(f'the body is not JSON: {error}') from error
    if not isinstance(document, dict):
        raise _complain('', 'must be an object')
    return _decode_spec(job_id, document, policy, accepted)


def _complain(field: str, problem: str) -> InvalidError:
    found = FieldProblem(field or 'body', problem)
    return InvalidError(str(found), fields=(found,))


def _decode_spec(
    job_id: str, document: dict[str, Any], policy: QueuePolicy, accepted: float
) -> JobSpec:
    payload = document.get('spec') or ''
    steps = document.get('steps')
    if not isinstance(payload, str):
        raise _complain('spec', 'must be a text')
    if not isinstance(steps, list) or not steps:
        raise _complain('steps', 'must be a list that is not empty')
    decoded = tuple(_decode_step(n, step) for n, step in enumerate(steps))
    if sum(step.count for step in decoded) > MAX_TASKS:
        raise _complain('steps', f'has more than {MAX_TASKS} tasks')
    try:
        return JobSpec(
            id=job_id,
            payload=payload,
            steps=decoded,
            queue=policy,
            accepted=accepted,
            # 'runCount' counts occurrences, not starts of a task.
            occurrences=int(document.get('runCount') or 0),
            first=float(document.get('startTimeMs') or 0) / 1000,
            interval=float(document.get('intervalMs') or 0) / 1000,
        )
    except (TypeError, ValueError) as error:
        raise _complain('runCount, startTimeMs, intervalMs', str(error)) from (
            error
        )


def _decode_step(number: int, step: Any) -> StepSpec:
    name = f'steps[{number}]'
    if not isinstance(step, dict):
        raise _complain(name, 'must be an object')
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
            # One label, in spite of the plural.
            label=str(step.get('requirements') or ''),
            # The rack with the data, not a task to be near to.
            rack=str(step.get('affinity') or ''),
            # A bound per worker, not a group to keep away from.
            most_per_worker=int(step.get('antiAffinity') or 0),
            duplicates=bool(step.get('allowDuplicates')),
            lasting=bool(step.get('longRunning')),
            image=str(step.get('image') or ''),
            target_ms=float(step.get('targetMs') or 0),
            fills=bool(step.get('fills')),
            may_miss=int(step['mayMiss']) if 'mayMiss' in step else None,
        )
    except (TypeError, ValueError) as error:
        raise _complain(name, str(error)) from error
    if count < 1:
        raise _complain(f'{name}.count', 'must be 1 or more')
    if any(not 0 <= before < number for before in after):
        raise _complain(f'{name}.after', 'must list earlier steps')
    return spec


def encode_job_row(spec: JobSpec) -> dict[str, Any]:
    """Builds the body of a job's row."""
    return attrs.asdict(spec, filter=_is_set)


def _is_set(attribute: attrs.Attribute[Any], value: Any) -> bool:
    return bool(value != attribute.default)


def decode_job_row(body: Mapping[str, Any]) -> JobSpec:
    """Reads the body of a job's row."""
    steps = tuple(
        StepSpec(
            **{
                **step,
                'demand': Room(**step['demand']),
                'after': tuple(step.get('after', ())),
            }
        )
        for step in body['steps']
    )
    queue = QueuePolicy(**body['queue'])
    return JobSpec(**{**body, 'steps': steps, 'queue': queue})


def decode_registration(worker_id: str, value: bytes) -> WorkerEntry | None:
    """Decodes a registration; None if it names no worker to use."""
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
        leaves = document.get('remainingMs')
        return WorkerEntry(
            id=worker_id,
            started_ms=int(document.get('born') or 0),
            address=address,
            service=service,
            zone=zone,
            state=WorkerState(document['state']),
            capacity=_decode_room(document['capacity']),
            labels=labels,
            # What is left at the least, not what has run.
            drain_seconds=None if leaves is None else float(leaves) / 1000,
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def decode_worker_report(body: bytes) -> WorkerReport:
    """Decodes a worker's lists.

    Raises:
      ValueError: The body is not in the form agreed.
    """
    document = orjson.loads(body)
    try:
        started_ms = document.get('born')
        return WorkerReport(
            started_ms=None if started_ms is None else int(started_ms),
            clock_ms=int(document['clockMs']),
            running=tuple(map(_decode_running, document.get('running') or ())),
            ended=tuple(
                EndReport(int(n), task, int(run), EndKind(how), saved or '')
                for n, task, run, how, saved in document.get('ended') or ()
            ),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f'lists of a worker: {error!r}') from error


def _decode_running(row: list[Any]) -> RunReport:
    # The fourth entry is progress, not the share set by slowing down.
    task, run, saved, progress = row[:4]
    # The fifth entry is a tail in ms for a task that serves, and thousandths
    # of a core in use for all others; `usage` is in the same unit here, and
    # the task's step tells which it is.
    figure = float(row[4]) if len(row) > 4 else None
    return RunReport(task, int(run), saved or '', int(progress), figure)
