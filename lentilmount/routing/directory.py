"""Which upstreams serve which service, as the slices last told."""

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
      task: The replica's id.
      attempt: Its attempt.
      address: IP number and port where it serves.
      zone: Its availability zone.
      worker: The worker that it runs on.
      boot: The boot of that worker.
      slice_name: The slice that told of it.
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
        """The service, as team/name."""
        return self.task.partition('/')[2].rpartition('/')[0]

    @property
    def number(self) -> int:
        """Its number among the replicas of the service."""
        return int(self.task.rpartition('/')[2])

    @property
    def resource(self) -> str:
        """Its name as a resource of the kind Upstream, without the team."""
        return self.task.split('/', 2)[2].replace('/', '.')


class UpstreamDirectory:
    """Upstreams by service; changed by what the slices' logs say.

    Attributes:
      version: Raised with each change.
    """

    def __init__(self) -> None:
        self.version = 0
        self._upstreams: dict[str, dict[str, Upstream]] = {}
        self._attempts: dict[str, int] = {}

    def load(self, slice_name: str, tasks: Iterable[Task]) -> None:
        """Replaces what is known of a slice."""
        tasks = list(tasks)
        present = {task.id for task in tasks}
        for service in self._upstreams.values():
            for upstream in list(service.values()):
                gone = upstream.task not in present
                if upstream.slice_name == slice_name and gone:
                    del service[upstream.task]
        self.version += 1
        for task in tasks:
            self.update(slice_name, task)

    def update(self, slice_name: str, task: Task) -> None:
        """Takes in one change; an older attempt is old news."""
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
        """Returns every upstream."""
        return [
            upstream
            for service in self._upstreams.values()
            for upstream in service.values()
        ]
