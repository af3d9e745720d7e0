"""Directory of the upstreams of each service, as last reported by slices."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lentilmount.batch.records import Task
from lentilmount.resources import Phase
from lentilmount.slices import get_zone


@attrs.frozen
class Upstream:
    """One running replica of a service.

    Attributes:
      task: Task id of the replica.
      attempt: Number of the task's attempt.
      address: IP address and port that serve requests.
      zone: Availability zone of the replica.
      worker: Name of the worker that runs it.
      boot: Boot id of that worker.
      slice_name: Name of the slice that owns the task.
    """

    task: str
    attempt: int
    address: str
    zone: str
    worker: str
    boot: str = ''
    slice_name: str = ''

    @property
    def service(self) -> str:
        """Name of the service, as team/name."""
        return self.task.partition('/')[2].rpartition('/')[0]

    @property
    def number(self) -> int:
        """Index of the replica within the service."""
        return int(self.task.rpartition('/')[2])

    @property
    def resource(self) -> str:
        """Name of the resource of kind Upstream, without the team."""
        return self.task.split('/', 2)[2].replace('/', '.')


class UpstreamDirectory:
    """Upstreams by service, updated from the change logs of slices.

    Attributes:
      version: Increases with each change.
    """

    def __init__(self) -> None:
        self.version = 0
        self._upstreams: dict[str, dict[str, Upstream]] = {}
        self._attempts: dict[str, int] = {}

    def load(self, slice_name: str, tasks: Iterable[Task]) -> None:
        """Replaces all upstreams of a slice."""
        tasks = list(tasks)
        present = {task.id for task in tasks}
        for service in self._upstreams.values():
            for upstream in list(service.values()):
                is_gone = upstream.task not in present
                if upstream.slice_name == slice_name and is_gone:
                    del service[upstream.task]
        self.version += 1
        for task in tasks:
            self.update(slice_name, task)

    def update(self, slice_name: str, task: Task) -> None:
        """Applies the change of one task; ignores an older attempt."""
        if not task.is_service:
            return
        if task.attempt < self._attempts.get(task.id, 0):
            return
        self._attempts[task.id] = task.attempt
        self.version += 1
        name = task.resource.partition('/')[2]
        service = self._upstreams.setdefault(name, {})
        if task.phase is Phase.RUNNING and task.endpoint:
            service[task.id] = Upstream(
                task.id,
                task.attempt,
                task.endpoint,
                get_zone(slice_name),
                task.worker,
                task.boot,
                slice_name,
            )
        else:
            service.pop(task.id, None)

    def list_service(self, service: str) -> list[Upstream]:
        """Returns the upstreams of a service, named as team/name."""
        return list(self._upstreams.get(service, {}).values())

    def list_all(self) -> list[Upstream]:
        """Returns the upstreams of all services."""
        return [
            upstream
            for service in self._upstreams.values()
            for upstream in service.values()
        ]
