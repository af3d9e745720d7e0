"""Cancellations whose jobs are not known to the owner of their service.

A client may cancel a job whose submission got no answer. The row of the
cancellation keeps the write of the job from taking effect later, and copies of
the request from being accepted. It is deleted after the retention time of jobs,
when nothing of the job can still be on its way.
"""

from __future__ import annotations

import itertools

import attrs


@attrs.frozen
class Cancellation:
    """A cancellation whose job is not known.

    Attributes:
      job: Id of the job.
      version: Version of the row.
      read_at: Monotonic time since which the row is certainly there.
    """

    job: str
    version: int
    read_at: float


@attrs.define
class Cancellations:
    """The cancellations of a service whose jobs are not known, oldest first."""

    _by_job: dict[str, Cancellation] = attrs.Factory(dict)

    def __contains__(self, job_id: str) -> bool:
        """Returns whether a job is cancelled that is not known."""
        return job_id in self._by_job

    def __len__(self) -> int:
        """Returns the number of cancellations."""
        return len(self._by_job)

    def add(self, cancellation: Cancellation) -> None:
        """Adds a cancellation, or replaces that of the same job."""
        self._by_job.pop(cancellation.job, None)
        self._by_job[cancellation.job] = cancellation

    def pop(self, job_id: str) -> Cancellation | None:
        """Removes and returns the cancellation of a job, if there is one."""
        return self._by_job.pop(job_id, None)

    def clear(self) -> None:
        """Removes all cancellations."""
        self._by_job.clear()

    def list_older(self, read_before: float, most: int) -> list[Cancellation]:
        """Lists the first cancellations that were read before a time."""
        older = itertools.takewhile(
            lambda cancellation: cancellation.read_at < read_before,
            self._by_job.values(),
        )
        return list(itertools.islice(older, most))
