"""How much of the workers each team's jobs hold, and may hold."""

from __future__ import annotations

from collections.abc import Callable

from lentilmount.batch.records import Task
from lentilmount.resources import Demand, Room, TeamSpec

AGE_SECONDS = 3600.0
"""A job that waited this long counts as much as a whole dominant share."""


class FairShare:
    """Weighted dominant-resource fair share under quotas.

    A quota holds over all slices, whose owners do not ask each other: each
    may hand out an equal part of it, so that the sum never exceeds it.

    Source: Ghodsi et al., "Dominant Resource Fairness", 2011.

    Args:
      get_team: Looks a team's quota and weight up.
      parts: Slices among which a quota is divided.
    """

    def __init__(self, get_team: Callable[[str], TeamSpec], parts: int):
        self._capacity = Room()
        self._shares: dict[str, float] = {}
        self._get_team = get_team
        self._parts = parts
        self._held: dict[str, Room] = {}

    def set_capacity(self, capacity: Room) -> None:
        """Takes over what the workers have, and any new quota or weight."""
        self._capacity = capacity
        self._shares.clear()

    def get_held(self, team: str) -> Room:
        """Returns what a team's jobs hold in this slice."""
        return self._held.get(team, Room())

    def add_job(self, task: Task) -> None:
        """Counts a job that was committed to a worker."""
        self._held[task.team] = self.get_held(task.team).add(task.demand)
        self._shares.pop(task.team, None)

    def remove_job(self, task: Task) -> None:
        """Counts a job whose commitment ended."""
        self._held[task.team] = self.get_held(task.team).subtract(task.demand)
        self._shares.pop(task.team, None)

    def get_share(self, team: str) -> float:
        """Returns a team's dominant share, divided by its weight."""
        share = self._shares.get(team)
        if share is None:
            share = self._shares[team] = self._find_share(team)
        return share

    def _find_share(self, team: str) -> float:
        held = self.get_held(team)
        total = self._capacity
        shares = (
            held.cores / max(total.cores, 1e-9),
            held.memory_mb / max(total.memory_mb, 1),
            held.accelerators / max(total.accelerators, 1),
        )
        return max(shares) / self._get_team(team).weight

    def get_part(self, team: str) -> Room:
        """Returns this slice's part of a team's quota."""
        quota = self._get_team(team).quota
        return Room(
            quota.cores / self._parts,
            quota.memory_mb // self._parts,
            quota.accelerators // self._parts,
        )

    def allows(self, team: str, demand: Demand) -> bool:
        """Tells whether the quota leaves room for one more job."""
        free = self.get_part(team).subtract(self.get_held(team))
        return demand.fits(free)

    def explain_refusal(self, team: str, demand: Demand) -> str | None:
        """Says why a team may never hold a demand, or returns None."""
        part = self.get_part(team)
        if demand.fits(part):
            return None
        return (
            f'the quota of {team} allows one job at most {part.cores:g} '
            f'cores, {part.memory_mb} MiB and {part.accelerators} '
            f'accelerators (one part of {self._parts})'
        )
