"""In which order pending tasks are tried."""

from __future__ import annotations

import heapq
from collections.abc import Callable

import attrs

from lentilmount.batch.fairness import AGE_SECONDS
from lentilmount.batch.records import Task
from lentilmount.resources import Demand, Phase, Urgency

SERVICES, URGENT, BATCH = range(3)
RETRY_SECONDS = 5.0
"""How long a task that fits nowhere is left alone while no room grows."""

BLOCKED_KEPT = 16


@attrs.frozen
class Group:
    """Pending tasks that fit in the same places: all of them or none."""

    tier: int
    team: str
    demand: Demand
    job_class: str
    zone: str
    failed_on: tuple[str, ...]


@attrs.define
class _Members:
    """The tasks of one group, oldest first, and when it was last tried."""

    heap: list[tuple[float, str]] = attrs.Factory(list)
    blocked_at: float = 0.0
    growth: int = -1


class PendingQueue:
    """Pending tasks by group, kept up to date as the ledger changes.

    Services go first, then urgent jobs, then batch by fair share. A task that
    fits nowhere blocks its whole group until room has grown, so thousands of
    equal tasks cost one try.
    """

    def __init__(self) -> None:
        self._groups: dict[Group, _Members] = {}
        self._where: dict[str, Group] = {}
        self._since: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._where)

    def update(self, task: Task, now: float) -> None:
        """Takes over a task's new state."""
        if task.phase is not Phase.PENDING:
            self._where.pop(task.id, None)
            self._since.pop(task.id, None)
            return
        self._since.setdefault(task.id, now)
        group = make_group(task)
        if self._where.get(task.id) == group:
            return
        self._where[task.id] = group
        members = self._groups.setdefault(group, _Members())
        heapq.heappush(members.heap, (task.accepted, task.id))

    @property
    def has_urgent(self) -> bool:
        """Whether services or urgent jobs wait."""
        return any(group.tier < BATCH for group in self.list_groups())

    def is_waiting(self, task: str) -> bool:
        """Tells whether a task is pending."""
        return task in self._where

    def get_wait(self, task: str, now: float) -> float:
        """Returns for how long a task has been pending here."""
        return now - self._since.get(task, now)

    def peek(self, group: Group) -> tuple[float, str] | None:
        """Returns when the oldest task was accepted, and its id."""
        members = self._groups.get(group)
        if members is None:
            return None
        while members.heap:
            if self._where.get(members.heap[0][1]) == group:
                return members.heap[0]
            heapq.heappop(members.heap)
        del self._groups[group]
        return None

    def list_groups(self) -> list[Group]:
        """Returns the groups that have tasks."""
        return [g for g in list(self._groups) if self.peek(g) is not None]

    def list_tasks(self, group: Group) -> list[str]:
        """Returns the ids of a group's tasks."""
        members = self._groups.get(group, _Members())
        return [
            task for _, task in members.heap if self._where.get(task) == group
        ]

    def block(self, group: Group, now: float, growth: int) -> None:
        """Leaves a group alone until room grows or some time has passed."""
        self._groups[group].blocked_at = now
        self._groups[group].growth = growth

    def is_blocked(self, group: Group, now: float, growth: int) -> bool:
        """Tells whether trying a group again would be in vain."""
        members = self._groups[group]
        return (
            members.growth == growth
            and now - members.blocked_at < RETRY_SECONDS
        )


def make_group(task: Task) -> Group:
    """Returns the group of a task."""
    tier = SERVICES if task.is_service else URGENT
    if tier == URGENT and task.urgency is Urgency.BATCH:
        tier = BATCH
    return Group(
        tier,
        task.team,
        task.declared or task.demand,
        task.job_class,
        task.zone,
        task.failed_on,
    )


class Round:
    """One pass over the queue.

    Args:
      queue: The pending tasks.
      get_share: A team's weighted dominant share.
      now: Monotonic time.
      wall: Wall time, on which tasks were accepted.
      growth: `WorkerIndex.growth`.
    """

    def __init__(
        self,
        queue: PendingQueue,
        get_share: Callable[[str], float],
        now: float,
        wall: float,
        growth: int,
    ):
        self._queue = queue
        self._get_share = get_share
        self._now = now
        self._wall = wall
        self._growth = growth
        self._too_large: list[Demand] = []
        groups = [
            group
            for group in queue.list_groups()
            if not queue.is_blocked(group, now, growth)
        ]
        self._heap = [self._rank(group) for group in groups]
        heapq.heapify(self._heap)

    def _rank(self, group: Group) -> tuple[int, float, float, str, Group]:
        head = self._queue.peek(group)
        assert head is not None
        accepted, task_id = head
        share = 0.0
        if group.tier == BATCH:
            waited = max(0.0, self._wall - accepted)
            share = self._get_share(group.team) - waited / AGE_SECONDS
        return group.tier, share, accepted, task_id, group

    def take(self) -> tuple[Group, str] | None:
        """Returns the next group to try and its oldest task, or None."""
        while self._heap:
            rank = heapq.heappop(self._heap)
            group = rank[-1]
            if self._queue.peek(group) is None:
                continue
            # Placing raised the shares of teams since this was ranked.
            current = self._rank(group)
            if self._heap and current[:-1] > self._heap[0][:-1]:
                heapq.heappush(self._heap, current)
                continue
            return group, current[3]
        return None

    def put_back(self, group: Group) -> None:
        """Lets the rest of a group be tried, after one was placed."""
        if self._queue.peek(group) is not None:
            heapq.heappush(self._heap, self._rank(group))

    def block(self, group: Group) -> None:
        """Leaves a group alone for now."""
        self._queue.block(group, self._now, self._growth)

    def note_no_room(self, demand: Demand) -> None:
        """Takes note that a demand fits nowhere, for want of room alone."""
        if len(self._too_large) < BLOCKED_KEPT:
            self._too_large.append(demand)

    def is_too_large(self, demand: Demand) -> bool:
        """Tells whether a smaller demand found no room in this round."""
        return any(blocked.fits(demand) for blocked in self._too_large)
