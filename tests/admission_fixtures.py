"""A service with waiting work, and the gates of its daemons."""

from __future__ import annotations

from typing import Any

import attrs

from lentilmount.clock import ManualClock
from lentilmount.policies import AdmissionPolicy
from lentilmount.resources import Room
from lentilmount.scheduling.admission import AdmissionGate, Refusal
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Task
from lentilmount.scheduling.specs import JobSpec, measure_critical_paths
from lentilmount.scheduling.waiting_times import UPDATE_SECONDS, WaitingTimes
from tests.scheduling_fixtures import (
    add_worker,
    make_job,
    make_policy,
    make_step,
    run_task,
)

SETTLE_UPDATES = 7
"""Updates after which a new owner publishes estimates."""

TASK = Room(2.0, 100)


def make_queue_job(
    job_id: str, queue: str, seconds: float = 1.0, **fields: Any
) -> JobSpec:
    """Returns a job of one step with four tasks of 2 cores.

    Its objective is twice the time of a task, and a second.
    """
    step = make_step(
        **{'count': 4, 'demand': TASK, 'estimated_seconds': seconds, **fields}
    )
    policy = attrs.evolve(make_policy(), name=queue)
    return make_job(job_id, step, policy=policy)


@attrs.define
class Scene:
    """An owner with 4 workers of 8 cores, and daemons that read its lease.

    Attributes:
      policy: The operators' policy.
      daemons: Number of daemons.
    """

    policy: AdmissionPolicy = attrs.Factory(AdmissionPolicy)
    daemons: int = 1
    clock: ManualClock = attrs.Factory(ManualClock)
    cluster: ClusterState = attrs.Factory(ClusterState)
    waiting_times: WaitingTimes = attrs.field(init=False)
    gates: list[AdmissionGate] = attrs.field(init=False)
    _version: int = 0
    _jobs: int = 0

    def __attrs_post_init__(self) -> None:
        """Adds the workers."""
        self.waiting_times = WaitingTimes(self.cluster, self.policy)
        self.gates = [
            AdmissionGate(self.policy, lambda: self.daemons)
            for _ in range(self.daemons)
        ]
        for number in range(4):
            add_worker(self.cluster, f'w{number}')

    def add(self, queue: str, jobs: int, **fields: Any) -> list[JobSpec]:
        """Adds jobs that were accepted now."""
        specs = []
        for _ in range(jobs):
            self._jobs += 1
            spec = make_queue_job(f'{self._jobs:016x}', queue, **fields)
            self.cluster.admit(spec, self.clock.now, 0.0)
            specs.append(spec)
        return specs

    def run_ready(self, cores: float, queue: str = '') -> list[Task]:
        """Starts ready tasks of a queue, or of all, on that many cores."""
        started = []
        for task in list(self.cluster.ready.values()):
            if queue and task.job.spec.queue.name != queue:
                continue
            if cores < task.spec.demand.cores:
                break
            cores -= task.spec.demand.cores
            for worker in self.cluster.workers.values():
                best_effort = sum(
                    t.spec.demand.cores
                    for t in worker.tasks.values()
                    if t.spec.fills
                )
                free = worker.entry.capacity.subtract(worker.used).cores
                if free - best_effort >= task.spec.demand.cores:
                    run_task(self.cluster, task, worker, self.clock.now)
                    started.append(task)
                    break
        return started

    def publish(self, updates: int = 1) -> None:
        """Lets the owner publish estimates that all daemons read."""
        for _ in range(updates):
            self.clock.advance(UPDATE_SECONDS)
            now = self.clock.now
            estimates = self.waiting_times.update(now)
            self._version += 1
            for gate in self.gates:
                gate.observe(self._version, estimates, now)

    def settle(self) -> None:
        """Publishes until a new owner has estimates."""
        self.publish(SETTLE_UPDATES)

    def judge(
        self, queue: str, daemon: int = 0, **fields: Any
    ) -> Refusal | None:
        """Judges a new job at a daemon; counts it there if it is accepted."""
        self._jobs += 1
        spec = make_queue_job(f'{self._jobs:016x}', queue, **fields)
        gate, now = self.gates[daemon], self.clock.now
        path = max(measure_critical_paths(spec))
        refusal = gate.judge(spec, path, now)
        if refusal is None:
            gate.count_accepted(spec, now)
        return refusal

    def get_wait(self, queue: str) -> float:
        """Returns the longest wait in the newest estimates of a queue."""
        found = self.waiting_times.update(self.clock.now).get(queue, {})
        return max((e.wait_seconds for e in found.values()), default=0.0)
