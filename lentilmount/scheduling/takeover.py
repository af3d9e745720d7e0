"""Safe takeover of a service: inherited leases and unrecorded starts."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Task, Worker


@attrs.define
class UnrecordedStarts:
    """Starts by the previous owner that the state rows may not contain.

    While no daemon reaches the table service, an owner continues to start tasks
    that it cannot record. If it is lost before its first write after the
    outage, the rows show such a task as waiting while it runs on a worker that
    the new owner may be unable to reach, for example during a partition between
    zones. Starting it again would run it twice.

    So unless the new owner has observed a write since the outage, inherited
    tasks wait until all workers have answered or their leases have certainly
    expired. Workers whose registrations expired in the outage and are not back
    yet count as well. Ordinary takeovers are not delayed, because renewals were
    observed until the end.

    Attributes:
      cluster: Jobs and workers.
      are_all_recorded: Whether the rows certainly contain all starts.
      expires_at: Monotonic time by which the previous owner's leases have
        expired.
      jobs: Ids of the inherited jobs.
      are_all_listed: Whether a list of the workers was read that is certainly
        complete.
    """

    cluster: ClusterState
    are_all_recorded: bool
    expires_at: float
    jobs: frozenset[str]
    are_all_listed: bool = False

    def may_exist(self, now: float) -> bool:
        """Returns whether a worker may be running a task without a record."""
        if self.are_all_recorded or now > self.expires_at:
            return False
        return not self.are_all_listed or any(
            not worker.has_answered
            for worker in self.cluster.workers.values()
            if worker.is_registered or worker.tasks
        )

    def get_remaining_seconds(self, now: float) -> float | None:
        """Returns the maximum time in seconds for which such runs may continue.

        It is recorded for the next owner, which cannot derive it from the rows.

        Returns:
          The time, or None if there can be no such runs.
        """
        return self.expires_at - now if self.may_exist(now) else None

    def affects(self, task: Task) -> bool:
        """Returns whether a task belongs to an inherited job.

        Only such a task may have been started without a record.
        """
        return task.id.job in self.jobs


@attrs.frozen
class InheritedLeases:
    """Worker leases as recorded by the previous owner.

    Attributes:
      remaining: Seconds for which leases may still be valid, by worker id.
      at: Latest monotonic time from which these seconds count.
      are_still_published: Whether the lease row still contains them. None of
        them may be renewed until it is rewritten.
      unrecorded_seconds: Seconds for which unrecorded starts may still run,
        counted in the same way, or None if not known.
    """

    remaining: Mapping[str, float] = attrs.Factory(dict)
    at: float = 0.0
    are_still_published: bool = False
    unrecorded_seconds: float | None = None

    def list_remaining(self, drift: float, now: float) -> dict[str, float]:
        """Returns the remaining seconds of leases by worker id.

        Args:
          drift: Maximum relative difference in rate between two clocks.
          now: Monotonic time.
        """
        return {
            name: self._subtract_elapsed(seconds, drift, now)
            for name, seconds in self.remaining.items()
        }

    def get_unrecorded_seconds(self, drift: float, now: float) -> float | None:
        """Returns how many seconds unrecorded starts may still run, or None."""
        if self.unrecorded_seconds is None:
            return None
        return self._subtract_elapsed(self.unrecorded_seconds, drift, now)

    def _subtract_elapsed(
        self, seconds: float, drift: float, now: float
    ) -> float:
        return max(0.0, seconds * (1 + drift) - (now - self.at))


def list_lease_seconds(cluster: ClusterState, now: float) -> dict[str, float]:
    """Returns for how many seconds leases may still be valid on each worker.

    This is recorded for the next owner when the service is released. Otherwise
    each new owner would wait for the maximum lease time, and if owners change
    faster than that, the tasks of a lost worker would never be started again.
    All workers are included, because the loss of one may not have been noticed
    yet. Calls in transit are covered, because a lease counts from before it is
    sent.

    Returns:
      Seconds by worker id, without workers whose leases are not known.
    """
    return {
        worker.id: max(0.0, worker.leases_expire_at - now)
        for worker in cluster.workers.values()
        if worker.tasks and worker.leases_expire_at
    }


def list_unreachable_lease_seconds(
    cluster: ClusterState, now: float
) -> dict[str, float]:
    """Returns for how many seconds leases may be valid on unreachable workers.

    This is recorded with each write of the service's lease, because a killed
    owner does not release the service. Otherwise, if owners are killed faster
    than leases expire, each new one would wait for the full lease time again.

    Returns:
      See `list_lease_seconds`.
    """
    return {
        name: seconds
        for name, seconds in list_lease_seconds(cluster, now).items()
        if is_unreachable(cluster.workers[name])
    }


def is_unreachable(worker: Worker) -> bool:
    """Returns whether a worker is unreachable, as observed or as recorded."""
    has_failed_poll = worker.has_missed_poll or worker.is_reported_unreachable
    return has_failed_poll and not worker.reachable


def apply_lease_seconds(
    cluster: ClusterState,
    remaining: Mapping[str, float],
    drift: float,
    now: float,
) -> None:
    """Applies the lease times that the previous owner recorded on release.

    Args:
      cluster: Restored cluster state, before any worker was polled.
      remaining: Seconds by worker id, from `list_lease_seconds`.
      drift: Maximum relative difference in rate between two clocks.
      now: Monotonic time.
    """
    for worker_id, seconds in remaining.items():
        worker = cluster.workers.get(worker_id)
        if worker is not None and not worker.has_answered:
            until = now + seconds * (1 + drift)
            worker.leases_expire_at = min(worker.leases_expire_at, until)
