"""Queue of pending tasks, and the order in which they are tried."""

from __future__ import annotations

import heapq
from collections.abc import Callable

import attrs

from lentilmount.batch.fairness import AGE_SECONDS
from lentilmount.batch.records import Task
from lentilmount.resources import Demand, Phase, Room, Urgency

SERVICES, URGENT, BATCH = range(3)
RETRY_SECONDS = 5.0
"""Time after which a blocked batch group is retried.

A quota may have been released meanwhile, or interference may have fallen,
although no worker gained enough free resources.
"""

URGENT_RETRY_SECONDS = 0.5
"""The same for services and urgent jobs."""

MAX_UNPLACEABLE = 16
"""Maximum number of unplaceable demands kept in one pass."""


@attrs.frozen
class Group:
    """Key of pending tasks that are equivalent for placement.

    Attributes:
      tier: `SERVICES`, `URGENT` or `BATCH`; lower tiers go first.
      team: The owning team.
      demand: The declared demand.
      job_class: Class of tasks that behave alike.
      zone: Required availability zone, or ''.
      failed_on: Workers on which the tasks failed.
    """

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
      heap: Acceptance time and id of each task; removed lazily.
      blocked: Demand that could not be placed, or None if not blocked.
      retry_at: Monotonic time when a blocked group is retried.
    """

    heap: list[tuple[float, str]] = attrs.Factory(list)
    blocked: Demand | None = None
    retry_at: float = 0.0


class PendingQueue:
    """Pending tasks by group, updated as the rows of the slice change.

    Services go first, then urgent jobs, then batch jobs by fair share. A task
    that fits nowhere blocks its whole group until some worker has enough free
    resources, so thousands of equal tasks cost one try, and the cost of a
    pass depends on the tasks that can be placed.
    """

    def __init__(self) -> None:
        self._groups: dict[Group, _Members] = {}
        self._group_by_task: dict[str, Group] = {}
        self._pending_since: dict[str, float] = {}
        self._unblocked: dict[Group, None] = {}
        self._blocked: dict[Demand, dict[Group, None]] = {}
        self._retries: list[tuple[float, int, Group]] = []
        self._sequence = 0
        self._urgent_count = 0

    def __len__(self) -> int:
        return len(self._group_by_task)

    def update(self, task: Task, now: float) -> None:
        """Updates the queue from a task's new state."""
        if task.phase is not Phase.PENDING:
            self.remove(task.id)
            return
        self._pending_since.setdefault(task.id, now)
        group = make_group(task)
        if self._group_by_task.get(task.id) == group:
            return
        self._remove_from_group(task.id)
        self._group_by_task[task.id] = group
        self._urgent_count += group.tier < BATCH
        members = self._groups.get(group)
        if members is None:
            members = self._groups[group] = _Members()
            self._unblocked[group] = None
        heapq.heappush(members.heap, (task.accepted, task.id))

    def remove(self, task: str) -> None:
        """Removes a task that is no longer pending."""
        self._remove_from_group(task)
        self._pending_since.pop(task, None)

    def _remove_from_group(self, task: str) -> None:
        group = self._group_by_task.pop(task, None)
        if group is not None:
            self._urgent_count -= group.tier < BATCH

    @property
    def has_urgent(self) -> bool:
        """Whether services or urgent jobs are pending."""
        return self._urgent_count > 0

    def is_pending(self, task: str) -> bool:
        """Returns whether a task is pending."""
        return task in self._group_by_task

    def get_pending_seconds(self, task: str, now: float) -> float:
        """Returns the seconds that a task has been in this queue."""
        return now - self._pending_since.get(task, now)

    def peek(self, group: Group) -> tuple[float, str] | None:
        """Returns the oldest task's acceptance time and id, or None."""
        members = self._groups.get(group)
        if members is None:
            return None
        while members.heap:
            if self._group_by_task.get(members.heap[0][1]) == group:
                return members.heap[0]
            heapq.heappop(members.heap)
        self._unblock(group)
        del self._groups[group]
        del self._unblocked[group]
        return None

    def list_groups(self) -> list[Group]:
        """Returns the groups that contain tasks."""
        return [g for g in list(self._groups) if self.peek(g) is not None]

    def list_tasks(self, group: Group) -> list[str]:
        """Returns the ids of a group's tasks."""
        members = self._groups.get(group, _Members())
        return [
            task
            for _, task in members.heap
            if self._group_by_task.get(task) == group
        ]

    def list_unblocked(self) -> list[tuple[Group, tuple[float, str]]]:
        """Returns the unblocked groups with their oldest tasks; see `peek`."""
        heads = [(group, self.peek(group)) for group in list(self._unblocked)]
        return [(group, head) for group, head in heads if head is not None]

    def block(self, group: Group, demand: Demand, now: float) -> None:
        """Blocks a group until `unblock` or its retry time.

        Args:
          group: The group that could not be placed.
          demand: The demand that would have been committed for its task.
          now: Monotonic time.
        """
        members = self._groups[group]
        delay = RETRY_SECONDS if group.tier == BATCH else URGENT_RETRY_SECONDS
        members.blocked = demand
        members.retry_at = now + delay
        self._unblocked.pop(group, None)
        self._blocked.setdefault(demand, {})[group] = None
        self._sequence += 1
        heapq.heappush(self._retries, (now + delay, self._sequence, group))

    def unblock(self, free: Room) -> None:
        """Unblocks the groups that fit into a worker's free resources."""
        for demand in [d for d in self._blocked if d.fits(free)]:
            for group in list(self._blocked[demand]):
                self._unblock(group)

    def retry(self, now: float) -> None:
        """Unblocks the groups whose retry time has come."""
        while self._retries and self._retries[0][0] <= now:
            _, _, group = heapq.heappop(self._retries)
            members = self._groups.get(group)
            if members is not None and members.retry_at <= now:
                self._unblock(group)

    def _unblock(self, group: Group) -> None:
        members = self._groups[group]
        if members.blocked is None:
            return
        same_demand = self._blocked[members.blocked]
        del same_demand[group]
        if not same_demand:
            del self._blocked[members.blocked]
        members.blocked = None
        self._unblocked[group] = None


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
    """One scheduling pass over the queue, in order of priority.

    Args:
      queue: The pending tasks.
      get_share: Returns a team's weighted dominant share.
      now: Monotonic time.
      wall: Wall time, which task acceptance times refer to.
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
        self._unplaceable: list[Demand] = []
        queue.retry(now)
        self._heap = [self._rank(*found) for found in queue.list_unblocked()]
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
            # Tasks placed since this group was ranked may have raised its
            # team's share.
            current = self._rank(group, head)
            if self._heap and current[:-1] > self._heap[0][:-1]:
                heapq.heappush(self._heap, current)
                continue
            return group, current[3]
        return None

    def requeue(self, group: Group) -> None:
        """Returns a group to the pass, so that its next task is tried."""
        head = self._queue.peek(group)
        if head is not None:
            heapq.heappush(self._heap, self._rank(group, head))

    def block(self, group: Group, demand: Demand) -> None:
        """Blocks a group that could not be placed."""
        self._queue.block(group, demand, self._now)

    def record_unplaceable(self, demand: Demand) -> None:
        """Records a demand that fits nowhere for lack of free resources."""
        if len(self._unplaceable) < MAX_UNPLACEABLE:
            self._unplaceable.append(demand)

    def is_too_large(self, demand: Demand) -> bool:
        """Returns whether a demand no larger already fitted nowhere."""
        return any(blocked.fits(demand) for blocked in self._unplaceable)
