"""In which order pending tasks are placed."""

from __future__ import annotations

from collections.abc import Iterable

from lentilmount.batch.records import Task
from lentilmount.resources import Phase, Urgency


def order_pending(tasks: Iterable[Task]) -> list[Task]:
    """Returns pending tasks: services, then urgent, then batch, by age."""
    pending = [task for task in tasks if task.phase is Phase.PENDING]
    return sorted(pending, key=_rank)


def _rank(task: Task) -> tuple[bool, bool, float, str]:
    return (
        not task.is_service,
        task.urgency is not Urgency.URGENT,
        task.accepted,
        task.id,
    )
