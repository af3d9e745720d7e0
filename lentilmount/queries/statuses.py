"""Builds the status that callers see of tasks, services, workers, upstreams."""

from __future__ import annotations

from lentilmount.batch.records import Task, WorkerRecord
from lentilmount.resources import Condition, Phase, Status
from lentilmount.routing.directory import Upstream


def make_status(task: Task) -> Status:
    """Builds the status of a task for callers."""
    return Status(
        phase=task.phase,
        reason=task.reason,
        attempt=task.attempt,
        worker=task.worker,
        evictions=task.evictions,
        output=task.output,
    )


def make_service_status(running: int, wanted: int) -> Status:
    """Builds the status of a service for callers."""
    return Status(
        phase=Phase.RUNNING if running else Phase.PENDING,
        reason=f'{running} of {wanted} replicas run',
        conditions=(Condition('Complete', f'{running}/{wanted}'),),
    )


def make_worker_status(record: WorkerRecord) -> Status:
    """Builds the status of a worker for callers."""
    free = record.free
    conditions = [
        Condition('Free', f'{free.cores:g} cores, {free.memory_mb} MiB'),
        Condition('Zone', record.zone),
    ]
    if record.cordoned:
        conditions.append(Condition('Cordoned'))
    if record.quarantined:
        conditions.append(Condition('Quarantined', record.quarantined))
    if record.leaving:
        conditions.append(Condition('Leaving'))
    return Status(
        phase=Phase.RUNNING,
        reason=f'{len(record.commitments)} tasks',
        worker=record.name,
        conditions=tuple(conditions),
    )


def make_upstream_status(upstream: Upstream) -> Status:
    """Builds the status of an upstream for callers."""
    return Status(
        phase=Phase.RUNNING,
        attempt=upstream.attempt,
        worker=upstream.worker,
        conditions=(
            Condition('Zone', upstream.zone),
            Condition('Address', upstream.address),
        ),
    )
