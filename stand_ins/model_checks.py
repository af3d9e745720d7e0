"""Checks of what model workers have run against the users' rules."""

from __future__ import annotations

import collections
import math
from typing import Protocol

import attrs

from lentilmount.clock import ManualClock
from lentilmount.policies import Policies
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import JobState, TaskPhase
from lentilmount.scheduling.specs import JobSpec
from stand_ins.limits import (
    CORDON_SECONDS,
    MAX_LATER_STARTS,
    MIN_CRASHES,
    count_starts_after_crashes,
    get_binding_capacity,
)
from stand_ins.model_network import Link, Network
from stand_ins.model_owners import Process
from stand_ins.model_worker import (
    ALWAYS_CRASHING_PAYLOADS,
    Execution,
    ModelWorker,
)

STOP_LIMIT_SECONDS = 3.9
"""Time within which a run that must not go on has to end."""

DISTURBED_LIMIT_SECONDS = 3.0
"""Further time for that where calls were lost or late."""

NOTICE_SECONDS = 2.0
"""Time within which a worker that is up, registered and not cut off is reached,
so that a late start is stopped."""

COPY_LIMIT_SECONDS = 1.0
"""Time after the acknowledged end of a task that may be copied within which
another run of it may still begin."""

LATE_SECONDS = 1.0
"""Time from sending a start after which it was carried out late; no owner can
take it back."""


@attrs.define
class Cordon:
    """A time during which a zone gets no new work.

    Attributes:
      zone: Name of the availability zone.
      since: Time in seconds at which the operator cordoned it.
      until: Time in seconds at which that was undone; infinity until then.
    """

    zone: str
    since: float
    until: float = math.inf

    def forbids(self, at: float) -> bool:
        """Returns whether a start may not begin at a time."""
        return self.since + CORDON_SECONDS < at < self.until


class CheckedSite(Protocol):
    """What the checks read of a site; see `ModelSite`."""

    clock: ManualClock
    network: Network
    record: list[Execution]
    jobs: dict[str, JobSpec]
    cancelled: set[str]
    uncertain: set[str]
    cordons: list[Cordon]
    violations: list[str]
    processes: list[Process]
    policies: Policies
    all_workers: dict[str, ModelWorker]
    registered_at: dict[str, float]

    @property
    def cluster(self) -> ClusterState | None:
        """What the newest owner knows; None if there is none."""

    def get_link(self, worker: ModelWorker) -> Link:
        """Returns the link to a worker."""


@attrs.define(eq=False)
class SiteChecks:
    """Adds violations to a site by what its workers have run.

    Attributes:
      site: The site.
    """

    site: CheckedSite
    _final_states: dict[str, JobState] = attrs.Factory(dict)
    _checked: int = 0
    _owner: object = None
    _learned_at: dict[str, float] = attrs.Factory(lambda: {'': 0.0})

    def check(self) -> None:
        """Adds violations by what has run up to now."""
        for process in self.site.processes:
            if process.task.done():
                self._add(f'a process ended: {process.task}')
        self._note_cancellations()
        self._note_final_states()
        by_task: dict[str, list[Execution]] = {}
        for execution in self.site.record:
            by_task.setdefault(execution.task, []).append(execution)
        for executions in by_task.values():
            for number, later in enumerate(executions):
                for earlier in executions[:number]:
                    self._check_pair(earlier, later)
            self._check_crashes(executions)
        for number in range(self._checked, len(self.site.record)):
            self._check_capacity(number)
            self._check_cordon(self.site.record[number])
        self._checked = len(self.site.record)
        for execution in self.site.record:
            if math.isinf(execution.ended_at):
                self._check_cancelled(execution)

    def _check_crashes(self, executions: list[Execution]) -> None:
        """Checks how often a task was started that crashes its workers."""
        spec = self.site.jobs.get(executions[0].task.partition('.')[0])
        if spec is None or spec.payload not in ALWAYS_CRASHING_PAYLOADS:
            return
        later = count_starts_after_crashes(
            [e.started_at for e in executions],
            [e.ended_at for e in executions if e.kind == 'crashed'],
        )
        if later > MAX_LATER_STARTS:
            self._add('started again after its crashes', executions[-1])

    def _check_capacity(self, number: int) -> None:
        """Checks that a run fitted on its worker when it began."""
        begun = self.site.record[number]
        now = begun.started_at
        beside = [
            e
            for e in self.site.record[:number]
            if (e.worker, e.incarnation) == (begun.worker, begun.incarnation)
            and e.ended_at > now
        ]
        used = sum(self._get_cores(e.task) for e in [*beside, begun])
        worker = self.site.all_workers[begun.worker]
        if used > get_binding_capacity(worker.capacities, now):
            self._add('started beyond the capacity', begun, *beside)

    def _check_cordon(self, begun: Execution) -> None:
        """Checks that a run did not begin in a cordoned zone."""
        zone = self.site.all_workers[begun.worker].zone
        is_late = begun.started_at - begun.sent_at > LATE_SECONDS
        at = begun.sent_at if is_late else begun.started_at
        if any(c.zone == zone and c.forbids(at) for c in self.site.cordons):
            self._add('started in a cordoned zone', begun)

    def _get_cores(self, task: str) -> float:
        job, _, step, _ = task.split('.')
        return self.site.jobs[job].steps[int(step)].reserved.cores

    def _may_have_copies(self, task: str) -> bool:
        """Returns whether two runs of a task may go on at a time."""
        job, _, step, _ = task.split('.')
        is_allowed = self.site.jobs[job].steps[int(step)].duplicates
        return is_allowed and self.site.policies.copies is not None

    def _check_pair(self, earlier: Execution, later: Execution) -> None:
        is_beside = earlier.ended_at > later.started_at
        is_after_done = earlier.kind == 'done' and earlier.is_acknowledged
        if self._may_have_copies(earlier.task):
            is_beside = False
            last_start = earlier.acknowledged_at + COPY_LIMIT_SECONDS
            is_after_done &= later.started_at > last_start
        if not is_beside and not is_after_done:
            return
        if not self._is_unavoidable(earlier, later):
            problem = 'beside' if is_beside else 'after the end of'
            self._add(f'started {problem} a run', earlier, later)
            return
        late = later if later.is_late else earlier
        if self._is_overdue(late, late.started_at):
            self._add('a late start runs on', earlier, later)

    def _is_unavoidable(self, earlier: Execution, later: Execution) -> bool:
        """Returns whether no owner could have prevented a late start.

        The other run had started before the worker restarted and no stop could
        arrive before the start, or nobody could learn of the restart before
        the start of the other run was sent. A start that was sent cannot be
        taken back.
        """
        late, other = (later, earlier) if later.is_late else (earlier, later)
        if not late.is_late:
            return False
        link = self._find_link(late.worker)
        if other.sent_at >= late.booted_at:
            noticed_at = other.sent_at - NOTICE_SECONDS
            reported_at = link.reported_at.get(late.incarnation, math.inf)
            if noticed_at < late.booted_at and other.sent_at < reported_at:
                return True
            is_cut = link.is_cut_during(late.booted_at, noticed_at)
            return is_cut or self._is_address_unknown(late, noticed_at)
        reachable_at = max(
            late.booted_at,
            self._learned_at[''],
            self.site.registered_at.get(late.worker, math.inf),
        )
        is_early = late.started_at < reachable_at + NOTICE_SECONDS
        is_disturbed = link.is_cut or link.disturbed_at >= late.booted_at
        return is_early or is_disturbed or self.site.cluster is None

    def _is_address_unknown(self, late: Execution, at: float) -> bool:
        """Returns whether the owner could not know the worker's address.

        That is a later one than the owner that sent the start, while the worker
        is not registered.
        """
        is_other_owner = self._learned_at[''] > late.sent_at
        registered_at = self.site.registered_at.get(late.worker, math.inf)
        return is_other_owner and registered_at > at

    def _check_cancelled(self, execution: Execution) -> None:
        learned_at = self._learned_at.get(execution.task.partition('.')[0])
        if learned_at is not None and self._is_overdue(execution, learned_at):
            self._add('runs on after its cancellation', execution)

    def _is_overdue(self, execution: Execution, since: float) -> bool:
        """Returns whether a run should have been stopped by now.

        That is so 3.9 s after the time from which the owner could stop it, or
        after a stop that its worker accepted without effect, and 3 s later if
        calls were lost or late since; each fault of the link after that
        postpones it again.
        """
        if math.isfinite(execution.ended_at) or self.site.cluster is None:
            return False
        link = self._find_link(execution.worker)
        registered_at = self.site.registered_at.get(execution.worker)
        if registered_at is None or link.is_cut:
            return False
        since = max(since, execution.started_at, registered_at)
        since = max(since, self._learned_at[''], link.worker.ineffective_at)
        limit = since + STOP_LIMIT_SECONDS
        if link.disturbed_at >= since:
            limit = max(
                limit + DISTURBED_LIMIT_SECONDS,
                link.disturbed_at + STOP_LIMIT_SECONDS,
            )
        return self.site.clock.now > limit

    def _find_link(self, worker_id: str) -> Link:
        return self.site.get_link(self.site.all_workers[worker_id])

    def _note_cancellations(self) -> None:
        cluster = self.site.cluster
        if cluster is not self._owner:
            self._owner = cluster
            self._learned_at = {'': self.site.clock.now}
        for job_id in self.site.cancelled if cluster is not None else ():
            job = cluster.jobs.get(job_id) if cluster is not None else None
            if job is not None and job.state is JobState.CANCELLED:
                self._learned_at.setdefault(job_id, self.site.clock.now)
        for link in self.site.network.links.values():
            if link.is_cut:
                link.disturbed_at = self.site.clock.now

    def _note_final_states(self) -> None:
        """Remembers how jobs have ended, which owners forget later."""
        jobs = self.site.cluster.jobs if self.site.cluster is not None else {}
        for job in jobs.values():
            if job.state.is_final:
                self._final_states[job.spec.id] = job.state

    def _add(self, problem: str, *executions: Execution) -> None:
        found = f'{problem}: ' + ', '.join(map(_format, executions))
        if found not in self.site.violations:
            self.site.violations.append(found)

    def list_unfinished(self) -> list[str]:
        """Lists what has not ended as it must; '' for a call under way."""
        cluster = self.site.cluster
        if cluster is None:
            return ['there is no owner']
        found = [] if self.site.network.late_calls == 0 else ['']
        for job_id in self.site.jobs:
            job = cluster.jobs.get(job_id)
            state = self._final_states.get(job_id)
            if state is JobState.FAILED and not self._may_fail(job_id):
                found.append(f'{job_id} was given up without a cause')
            if job is None:
                if state is None and job_id not in self.site.uncertain:
                    found.append(f'{job_id} is not known')
                continue
            for task in job.tasks.values():
                problem = self._find_problem(job.state, str(task.id))
                if task.spec.lasting and not job.state.is_final:
                    problem = (
                        ''
                        if task.phase is TaskPhase.RUNNING
                        and self._count_running(str(task.id)) == 1
                        else 'does not run'
                    )
                if problem:
                    found.append(f'{task.id} of a {job.state} job {problem}')
        return found

    def _may_fail(self, job_id: str) -> bool:
        """Returns whether a task has failed, or crashed workers, too often."""
        ends = collections.Counter(
            (e.task, e.kind)
            for e in self.site.record
            if e.task.partition('.')[0] == job_id
        )
        limits = {
            'failed': self.site.jobs[job_id].queue.max_attempts,
            'crashed': MIN_CRASHES,
        }
        return any(
            count >= limits.get(kind, math.inf)
            for (_, kind), count in ends.items()
        )

    def _count_running(self, task: str) -> int:
        return sum(
            e.task == task and math.isinf(e.ended_at) for e in self.site.record
        )

    def _find_problem(self, state: JobState, task: str) -> str:
        if not state.is_final:
            return 'has not ended'
        if self._count_running(task):
            return 'runs on'
        done = [
            e for e in self.site.record if e.task == task and e.kind == 'done'
        ]
        if state is JobState.COMPLETED and not done:
            return 'was never done'
        if self._may_have_copies(task):
            return ''
        noted = [e for e in done if e.is_acknowledged]
        extra = [e for e in noted if not self._is_unavoidable(noted[0], e)]
        return 'was done more than once' if len(extra) > 1 else ''


def _format(execution: Execution) -> str:
    late = ', late' if execution.is_late else ''
    return (
        f'{execution.task} run {execution.run} on {execution.worker}'
        f' incarnation {execution.incarnation} of {execution.booted_at:.3f}'
        f' at {execution.started_at:.3f} to {execution.ended_at:.3f}'
        f' ({execution.kind}{late})'
    )
