"""Baseline strategies for the policy: first fit and a threshold evictor."""

from __future__ import annotations

import math
from collections.abc import Mapping

from lentilmount.batch.drafts import Draft
from lentilmount.batch.records import Task
from lentilmount.batch.states import Transition
from lentilmount.resources import Phase
from stand_ins.slices import MemorySession, MemorySlice


class FirstFit:
    """Places tasks in order of arrival on the first worker they fit on."""

    def __init__(
        self, rows: MemorySlice, sessions: Mapping[str, MemorySession]
    ):
        self._rows = rows
        self._sessions = sessions

    def act(self, draft: Draft, now: float) -> None:
        """See `policy.Strategy`; does nothing."""

    def place(self, draft: Draft) -> bool:
        """See `policy.Strategy`."""
        blocked = set()
        for task in list(self._rows.tasks.values()):
            if task.phase is not Phase.PENDING or task.demand in blocked:
                continue
            if draft.is_full:
                return True
            for name in self._rows.workers:
                record = draft.get_worker(name)
                if task.demand.fits(record.free):
                    draft.place(task, record)
                    break
            else:
                blocked.add(task.demand)
        return False


class ThresholdEvictor(FirstFit):
    """First fit that evicts a job whenever a service is too slow.

    It is given the response time of the service alone, which the policy has to
    learn. When a measurement exceeds the limit it evicts the job with the most
    cores on that worker, and then waits until measurements show the effect.
    """

    LIMIT = 1.2
    SETTLE_SECONDS = 5.0

    def __init__(
        self,
        rows: MemorySlice,
        sessions: Mapping[str, MemorySession],
        base_ms: float,
    ):
        super().__init__(rows, sessions)
        self._base_ms = base_ms
        self._evicted: dict[str, float] = {}

    def act(self, draft: Draft, now: float) -> None:
        """Evicts a job on each worker whose measurement exceeds the limit."""
        for name, session in self._sessions.items():
            if not session.usage:
                continue
            service = session.usage[0]
            at = now - service.age
            if at <= self._evicted.get(name, -math.inf) + self.SETTLE_SECONDS:
                continue
            alone = self._base_ms * (1 + 0.3 * service.load)
            if service.p99_ms > self.LIMIT * alone:
                self._evict(draft, name)
                self._evicted[name] = now

    def _evict(self, draft: Draft, worker: str) -> None:
        jobs: list[Task] = []
        for commitment in draft.get_worker(worker).commitments:
            task = draft.get_task(commitment.rpartition('#')[0])
            if task and not task.is_service and task.phase is Phase.RUNNING:
                jobs.append(task)
        if jobs and not draft.is_full:
            largest = max(jobs, key=lambda t: (t.demand.cores, t.id))
            draft.transition(largest, Transition.EVICT, reason='too slow')
