"""Log lines on jobs that are due more often than their tasks can run."""

from __future__ import annotations

import attrs
import logbook

from lentilmount.scheduling.occurrences import Occurrences

log = logbook.Logger('owner')


@attrs.define
class BacklogLog:
    """Logs when occurrences of a job begin to wait for room, and their end.

    Attributes:
      service: Name of the service.
      occurrences: Opens the occurrences of its jobs.
    """

    service: str
    occurrences: Occurrences
    _waiting: set[str] = attrs.Factory(set)

    def update(self) -> None:
        """Logs the jobs whose state has changed since the last call."""
        backlog = self.occurrences.backlog
        for job_id in sorted(backlog.keys() - self._waiting):
            job = backlog[job_id]
            log.info(
                'Due occurrences wait until tasks of earlier ones are placed.',
                extra={
                    'service': self.service,
                    'job': job_id,
                    'held': self.occurrences.count_held(job),
                    'held_steps': len(job.held_steps),
                    'open_tasks': len(job.tasks),
                    'finished': job.finished.count,
                },
            )
        for job_id in sorted(self._waiting - backlog.keys()):
            log.info(
                'No due occurrence waits any more.',
                extra={'service': self.service, 'job': job_id},
            )
        self._waiting = set(backlog)
