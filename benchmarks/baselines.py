"""What the policy is compared with: first fit, alone and with a threshold."""

from __future__ import annotations

import math
from collections.abc import Mapping

from lentilmount.batch.drafts import Draft
from lentilmount.batch.records import Task
from lentilmount.batch.states import Transition
from lentilmount.resources import Phase
from stand_ins.slices import MemorySession, MemorySlice


class FirstFit:
    """First come, first served, to the first worker with room; no learning."""

    def __init__(
        self, rows: MemorySlice, sessions: Mapping[str, MemorySession]
    ):
        self._rows = rows
        self._sessions = sessions

    def act(self, draft: Draft, now: float) -> None:
        """Does what is due before placing: nothing."""

    def place(self, draft: Draft) -> bool:
        """Places what fits; returns whether the draft filled up."""
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
    """First fit that evicts whenever a service is too slow.

    It is told the service's time alone, which the policy has to learn. On
    a measurement above the limit it evicts the job on that worker that takes
    most processors, and then waits until a measurement can show the effect.
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
        """Evicts where the last measurement is too high."""
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
