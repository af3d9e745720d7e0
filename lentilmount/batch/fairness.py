"""Tracks the resources committed to each team's jobs, and its fair share."""

from __future__ import annotations

from collections.abc import Callable

from lentilmount.batch.records import Task
from lentilmount.resources import Demand, Room, TeamSpec

AGE_SECONDS = 3600.0
"""Pending time that offsets a dominant share of 1 in the queue order."""


class FairShare:
    """Weighted dominant-resource fair share under quotas.

    A quota applies to all slices together, whose owners do not coordinate:
    each may commit an equal part of it, so that the sum never exceeds it.

    Source: Ghodsi et al., "Dominant Resource Fairness", 2011.

    Args:
      get_team: Returns a team's quota and weight.
      parts: Number of slices among which a quota is divided.
    """

    def __init__(self, get_team: Callable[[str], TeamSpec], parts: int):
        self._capacity = Room()
        self._shares: dict[str, float] = {}
        self._get_team = get_team
        self._parts = parts
        self._committed: dict[str, Room] = {}

    def set_capacity(self, capacity: Room) -> None:
        """Sets the total capacity and recomputes the shares when next used."""
        self._capacity = capacity
        self._shares.clear()

    def get_committed(self, team: str) -> Room:
        """Returns the resources committed to a team's jobs in this slice."""
        return self._committed.get(team, Room())

    def add_job(self, task: Task) -> None:
        """Adds the commitment of a job."""
        self._committed[task.team] = self.get_committed(task.team).add(
            task.demand
        )
        self._shares.pop(task.team, None)

    def remove_job(self, task: Task) -> None:
        """Removes the commitment of a job."""
        self._committed[task.team] = self.get_committed(task.team).subtract(
            task.demand
        )
        self._shares.pop(task.team, None)

    def get_share(self, team: str) -> float:
        """Returns a team's dominant share, divided by its weight."""
        share = self._shares.get(team)
        if share is None:
            share = self._shares[team] = self._find_share(team)
        return share

    def _find_share(self, team: str) -> float:
        committed = self.get_committed(team)
        total = self._capacity
        shares = (
            committed.cores / max(total.cores, 1e-9),
            committed.memory_mb / max(total.memory_mb, 1),
            committed.accelerators / max(total.accelerators, 1),
        )
        return max(shares) / self._get_team(team).weight

    def get_quota_part(self, team: str) -> Room:
        """Returns this slice's part of a team's quota."""
        quota = self._get_team(team).quota
        return Room(
            quota.cores / self._parts,
            quota.memory_mb // self._parts,
            quota.accelerators // self._parts,
        )

    def allows(self, team: str, demand: Demand) -> bool:
        """Returns whether this slice's part of the quota allows a demand."""
        free = self.get_quota_part(team).subtract(self.get_committed(team))
        return demand.fits(free)

    def explain_refusal(self, team: str, demand: Demand) -> str | None:
        """Returns why a team's quota can never allow a demand, or None."""
        part = self.get_quota_part(team)
        if demand.fits(part):
            return None
        return (
            f'the quota of {team} allows one job at most {part.cores:g} '
            f'cores, {part.memory_mb} MiB and {part.accelerators} '
            f'accelerators (one part of {self._parts})'
        )
