"""What a new owner may start of what it has inherited."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Task, Worker


@attrs.define
class UnrecordedStarts:
    """Doubt about tasks that the previous owner may have started unwritten.

    In an outage for all daemons an owner goes on starting tasks that it
    cannot write down. If it is lost before its first write after the outage,
    the rows say of such a task that it waits, while it runs on a worker that
    the new owner cannot reach, as in a zone cut that follows; it would run
    twice. So where the new owner has not seen a write since the store was
    away, inherited tasks wait until all workers were heard or their leases
    have surely run out. Ordinary takeovers are not held up: renewals were
    seen until the end.

    Attributes:
      cluster: Jobs and workers.
      are_all_recorded: Whether the rows surely tell of all starts.
      expires_at: Monotonic time by which the previous owner's leases have run
        out.
      jobs: Ids of the jobs that were inherited.
    """

    cluster: ClusterState
    are_all_recorded: bool
    expires_at: float
    jobs: frozenset[str]

    def may_exist(self, now: float) -> bool:
        """Tells whether some worker may run what nobody has written."""
        if self.are_all_recorded or now > self.expires_at:
            return False
        return any(
            not worker.has_answered for worker in self.cluster.workers.values()
        )

    def get_remaining_seconds(self, now: float) -> float | None:
        """Returns for how many seconds a doubt lasts at most, or None.

        An owner in doubt tells it to the next one, whose rows say no more.
        """
        return self.expires_at - now if self.may_exist(now) else None

    def affects(self, task: Task) -> bool:
        """Tells whether a task is one that a doubt is about."""
        return task.id.job in self.jobs


@attrs.frozen
class InheritedLeases:
    """What the previous owner told of leases on workers.

    Attributes:
      remaining: Seconds for which they may still run, by the worker's id.
      at: Monotonic time from which these seconds count at the latest.
      are_still_published: Whether the row still tells it, so that none of them
        may be renewed yet.
      unrecorded_seconds: Seconds for which tasks may still run that no row
        tells of, or None where that is not known; counted in the same way.
    """

    remaining: Mapping[str, float] = attrs.Factory(dict)
    at: float = 0.0
    are_still_published: bool = False
    unrecorded_seconds: float | None = None

    def list_remaining(self, drift: float, now: float) -> dict[str, float]:
        """Returns the seconds that are left now, by the worker's id.

        Args:
          drift: Share by which two clocks differ in rate at most.
          now: Monotonic time.
        """
        return {
            name: self._count_down(seconds, drift, now)
            for name, seconds in self.remaining.items()
        }

    def get_unrecorded_seconds(self, drift: float, now: float) -> float | None:
        """Returns the seconds of doubt that are left now, or None."""
        if self.unrecorded_seconds is None:
            return None
        return self._count_down(self.unrecorded_seconds, drift, now)

    def _count_down(self, seconds: float, drift: float, now: float) -> float:
        return max(0.0, seconds * (1 + drift) - (now - self.at))


def list_lease_seconds(cluster: ClusterState, now: float) -> dict[str, float]:
    """Lists for how long leases may still run on workers.

    Told to the next owner with the release of the service. Without it each
    new owner would wait for the longest lease anew, and where owners change
    faster than that, what a gone worker ran would never be started again. All
    workers are told, as one may be gone and not have been missed yet; calls on
    their way are covered, since a lease counts from before it is sent.

    Returns:
      Seconds by the worker's id; nothing of workers whose leases are unknown.
    """
    return {
        worker.id: max(0.0, worker.leases_expire_at - now)
        for worker in cluster.workers.values()
        if worker.tasks and worker.leases_expire_at
    }


def list_unreachable_lease_seconds(
    cluster: ClusterState, now: float
) -> dict[str, float]:
    """Lists for how long leases may still run on workers that do not answer.

    Told with each write of the lease, since an owner that is killed writes no
    release: where owners are killed faster than leases run out, each would
    wait for them anew.

    Returns:
      See `list_lease_seconds`.
    """
    return {
        name: seconds
        for name, seconds in list_lease_seconds(cluster, now).items()
        if is_unreachable(cluster.workers[name])
    }


def is_unreachable(worker: Worker) -> bool:
    """Tells whether a worker does not answer, as far as owners know."""
    is_missed = worker.has_missed_poll or worker.is_reported_unreachable
    return is_missed and not worker.reachable


def apply_lease_seconds(
    cluster: ClusterState,
    remaining: Mapping[str, float],
    drift: float,
    now: float,
) -> None:
    """Takes over what `list_lease_seconds` told at the release.

    Args:
      cluster: The book as restored, before any worker was asked.
      remaining: What the previous owner has told.
      drift: Share by which two clocks differ in rate at most.
      now: Monotonic time.
    """
    for worker_id, seconds in remaining.items():
        worker = cluster.workers.get(worker_id)
        if worker is not None and not worker.has_answered:
            until = now + seconds * (1 + drift)
            worker.leases_expire_at = min(worker.leases_expire_at, until)
