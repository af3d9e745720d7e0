"""Workers' side of gangs: members work together and end together."""

from __future__ import annotations

import asyncio

from review.common_2.site import Site
from stand_ins.model_worker import Execution

GANG_TIMEOUT_SECONDS = 3.0


class Gangs:
    """Ends the members of each run of a gang together.

    Args:
      site: The deployment.
      sizes: Number of members by job; each job has one step.
      seconds: Time for which a gang works.
    """

    def __init__(self, site: Site, sizes: dict[str, int], seconds: float):
        self._site = site
        self._sizes = sizes
        self._seconds = seconds

    def watch(self, execution: Execution) -> None:
        """Handles a run that has begun or ended."""
        job = execution.task.split('.')[0]
        if job not in self._sizes:
            return
        if not execution.kind:
            loop = asyncio.get_running_loop()
            if len(self._list_present(job, execution.run)) == self._sizes[job]:
                loop.call_later(self._seconds, self._finish, job, execution.run)
            loop.call_later(GANG_TIMEOUT_SECONDS, self._check, execution)
        elif execution.kind != 'done':
            for member in self._list_present(job, execution.run):
                self._end(member, 'broken')

    def _list_present(self, job: str, run: int) -> list[Execution]:
        return [
            e
            for e in self._site.runs
            if e.task.startswith(f'{job}.') and e.run == run and not e.kind
        ]

    def _finish(self, job: str, run: int) -> None:
        members = self._list_present(job, run)
        if len(members) == self._sizes[job]:
            for member in members:
                self._end(member, 'done')

    def _check(self, execution: Execution) -> None:
        job = execution.task.split('.')[0]
        members = self._list_present(job, execution.run)
        if execution in members and len(members) < self._sizes[job]:
            self._end(execution, 'alone')

    def _end(self, execution: Execution, kind: str) -> None:
        model = self._site.workers[execution.worker].model
        if (execution.task, execution.run) in model.running:
            model._end(execution, kind)
