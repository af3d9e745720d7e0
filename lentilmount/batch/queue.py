"""In which order pending tasks are tried."""

from __future__ import annotations

import heapq
from collections.abc import Callable

import attrs

from lentilmount.batch.fairness import AGE_SECONDS
from lentilmount.batch.records import Task
from lentilmount.resources import Demand, Phase, Room, Urgency

SERVICES, URGENT, BATCH = range(3)
RETRY_SECONDS = 5.0
"""How long a job that cannot be placed is left alone while no worker gets
room for it: a quota may be free again, or a service less disturbed."""

URGENT_RETRY_SECONDS = 0.5

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
    """The tasks of one group, oldest first.

    Attributes:
      heap: When each was accepted, and its id; those gone stay for a while.
      blocked: What found no room, or None while the group is to be tried.
      retry_at: Monotonic time when a blocked group is tried all the same.
    """

    heap: list[tuple[float, str]] = attrs.Factory(list)
    blocked: Demand | None = None
    retry_at: float = 0.0


class PendingQueue:
    """Pending tasks by group, kept up to date as the ledger changes.

    Services go first, then urgent jobs, then batch by fair share. A task that
    fits nowhere blocks its whole group until some worker has room for it, so
    thousands of equal tasks cost one try, and a pass over the queue costs
    only what could be placed.
    """

    def __init__(self) -> None:
        self._groups: dict[Group, _Members] = {}
        self._where: dict[str, Group] = {}
        self._since: dict[str, float] = {}
        self._open: dict[Group, None] = {}
        self._blocked: dict[Demand, dict[Group, None]] = {}
        self._retries: list[tuple[float, int, Group]] = []
        self._count = 0
        self._urgent = 0

    def __len__(self) -> int:
        return len(self._where)

    def update(self, task: Task, now: float) -> None:
        """Takes over a task's new state."""
        if task.phase is not Phase.PENDING:
            self.remove(task.id)
            return
        self._since.setdefault(task.id, now)
        group = make_group(task)
        if self._where.get(task.id) == group:
            return
        self._forget(task.id)
        self._where[task.id] = group
        self._urgent += group.tier < BATCH
        members = self._groups.get(group)
        if members is None:
            members = self._groups[group] = _Members()
            self._open[group] = None
        heapq.heappush(members.heap, (task.accepted, task.id))

    def remove(self, task: str) -> None:
        """Drops a task that is not pending any more."""
        self._forget(task)
        self._since.pop(task, None)

    def _forget(self, task: str) -> None:
        group = self._where.pop(task, None)
        if group is not None:
            self._urgent -= group.tier < BATCH

    @property
    def has_urgent(self) -> bool:
        """Whether services or urgent jobs wait."""
        return self._urgent > 0

    def is_pending(self, task: str) -> bool:
        """Tells whether a task is pending."""
        return task in self._where

    def get_pending_seconds(self, task: str, now: float) -> float:
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
        self._unblock(group)
        del self._groups[group]
        del self._open[group]
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

    def list_open(self) -> list[tuple[Group, tuple[float, str]]]:
        """Returns the groups that are not blocked, and their oldest tasks."""
        heads = [(group, self.peek(group)) for group in list(self._open)]
        return [(group, head) for group, head in heads if head is not None]

    def block(self, group: Group, demand: Demand, now: float) -> None:
        """Leaves a group alone until `unblock`, or some time has passed.

        Args:
          group: What could not be placed.
          demand: What would have been committed for it.
          now: Monotonic time.
        """
        members = self._groups[group]
        pause = RETRY_SECONDS if group.tier == BATCH else URGENT_RETRY_SECONDS
        members.blocked = demand
        members.retry_at = now + pause
        self._open.pop(group, None)
        self._blocked.setdefault(demand, {})[group] = None
        self._count += 1
        heapq.heappush(self._retries, (now + pause, self._count, group))

    def unblock(self, free: Room) -> None:
        """Lets those groups be tried that fit in what a worker has free."""
        for demand in [d for d in self._blocked if d.fits(free)]:
            for group in list(self._blocked[demand]):
                self._unblock(group)

    def retry(self, now: float) -> None:
        """Lets those groups be tried that were left alone long enough."""
        while self._retries and self._retries[0][0] <= now:
            _, _, group = heapq.heappop(self._retries)
            members = self._groups.get(group)
            if members is not None and members.retry_at <= now:
                self._unblock(group)

    def _unblock(self, group: Group) -> None:
        members = self._groups[group]
        if members.blocked is None:
            return
        alike = self._blocked[members.blocked]
        del alike[group]
        if not alike:
            del self._blocked[members.blocked]
        members.blocked = None
        self._open[group] = None


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


class QueuePass:
    """One pass over the queue.

    Args:
      queue: The pending tasks.
      get_share: A team's weighted dominant share.
      now: Monotonic time.
      wall: Wall time, on which tasks were accepted.
    """

    def __init__(
        self,
        queue: PendingQueue,
        get_share: Callable[[str], float],
        now: float,
        wall: float,
    ):
        self._queue = queue
        self._get_share = get_share
        self._now = now
        self._wall = wall
        self._too_large: list[Demand] = []
        queue.retry(now)
        self._heap = [self._rank(*found) for found in queue.list_open()]
        heapq.heapify(self._heap)

    def _rank(
        self, group: Group, head: tuple[float, str]
    ) -> tuple[int, float, float, str, Group]:
        accepted, task_id = head
        share = 0.0
        if group.tier == BATCH:
            pending_seconds = max(0.0, self._wall - accepted)
            share = self._get_share(group.team) - pending_seconds / AGE_SECONDS
        return group.tier, share, accepted, task_id, group

    def pop(self) -> tuple[Group, str] | None:
        """Returns the next group to try and its oldest task, or None."""
        while self._heap:
            rank = heapq.heappop(self._heap)
            group = rank[-1]
            head = self._queue.peek(group)
            if head is None:
                continue
            # Placing raised the shares of teams since this was ranked.
            current = self._rank(group, head)
            if self._heap and current[:-1] > self._heap[0][:-1]:
                heapq.heappush(self._heap, current)
                continue
            return group, current[3]
        return None

    def requeue(self, group: Group) -> None:
        """Lets the rest of a group be tried, after one was placed."""
        head = self._queue.peek(group)
        if head is not None:
            heapq.heappush(self._heap, self._rank(group, head))

    def block(self, group: Group, demand: Demand) -> None:
        """Leaves a group alone for now."""
        self._queue.block(group, demand, self._now)

    def record_unplaceable(self, demand: Demand) -> None:
        """Takes note that a demand fits nowhere, for want of room alone."""
        if len(self._too_large) < BLOCKED_KEPT:
            self._too_large.append(demand)

    def is_too_large(self, demand: Demand) -> bool:
        """Tells whether a smaller demand found no room in this round."""
        return any(blocked.fits(demand) for blocked in self._too_large)
