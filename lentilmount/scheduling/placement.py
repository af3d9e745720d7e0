"""Choice of a worker for each ready task."""

from __future__ import annotations

import collections
import enum
import math

import attrs

from lentilmount.resources import Room
from lentilmount.scheduling.candidates import (
    Candidates,
    CostFunction,
    IsAllowed,
    LongRunningCandidates,
    StepCandidates,
)
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.consolidation import Consolidator
from lentilmount.scheduling.costs import CostModel
from lentilmount.scheduling.crashes import (
    awaits_proof,
    is_on_trial,
    measure_trial_risk,
)
from lentilmount.scheduling.demand import BestEffortDemand
from lentilmount.scheduling.headroom import Headroom
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Job, Task, TaskPhase, Worker
from lentilmount.scheduling.ranking import (
    has_never_run,
    is_coalescing,
    is_restart_overdue,
    sort_steps,
)
from lentilmount.scheduling.reservations import WorkerReservations
from lentilmount.scheduling.sampling import WorkerSampler
from lentilmount.scheduling.specs import StepSpec
from lentilmount.scheduling.start_window import StartWindow
from lentilmount.scheduling.views import WorkerView, WorkerViews

MAX_FAILED_STEPS = 40
"""Number of steps of one kind without a suitable worker after which a pass
skips the rest of that kind. It bounds the duration of a pass."""

MAX_LONG_RUNNING_STARTS = 50
"""Number of long-running tasks placed in a pass; the next one goes on. Many
arrive at once when a system starts or its workers are replaced, and the owner
must renew its lease and start urgent tasks meanwhile."""

Placement = tuple[Task, Worker]
StepShape = tuple[str, str, bool]
"""Requirements of a step besides its size.

These are the label, the best-effort image and whether the step is best-effort.
Among steps of one shape, a smaller one fits wherever a larger one does."""


class TaskKind(enum.Enum):
    """Kind of task; a shortage for one kind says nothing about the others."""

    LONG_RUNNING = enum.auto()
    BEST_EFFORT = enum.auto()
    PLAIN = enum.auto()


@attrs.define
class Placer:
    """Chooses workers for the ready tasks of a cluster state.

    Attributes:
      cluster: Jobs, tasks and workers.
      interference_model: Learned interference between images.
      window: Bounds the starts that are decided and not answered.
      is_incomplete: Whether the last pass left tasks to the next one, although
        they may fit.
    """

    cluster: ClusterState
    interference_model: InterferenceModel
    window: StartWindow = attrs.Factory(StartWindow)
    _views: WorkerViews = attrs.field(init=False)
    _consolidator: Consolidator = attrs.field(init=False)
    _headroom: Headroom = attrs.field(init=False)
    _reservations: WorkerReservations = attrs.Factory(WorkerReservations)
    _sampler: WorkerSampler = attrs.Factory(WorkerSampler)
    is_incomplete: bool = False

    def __attrs_post_init__(self) -> None:
        """Creates the state that is kept between passes."""
        self._views = WorkerViews(self.cluster, self.interference_model)
        demand = BestEffortDemand(self.cluster, self.interference_model)
        self._consolidator = Consolidator(self.cluster, demand)
        self._headroom = Headroom(self.cluster)

    def choose_moves(self, now: float) -> list[Task]:
        """Chooses serving tasks to stop so that they run elsewhere instead.

        They are placed again on a worker that serves their image and has room.
        """
        if not self._consolidator.is_due(now):
            return []
        return self._consolidator.choose(self._views.list_open(now), now)

    def place(self, now: float, is_allowed: IsAllowed) -> list[Placement]:
        """Places all tasks that can be placed now and returns the placements.

        Args:
          now: Monotonic time.
          is_allowed: Whether a task may run on a worker, by rules outside the
            cluster state.
        """
        self.is_incomplete = False
        self.window.update(now)
        if not self.cluster.ready:
            return []
        views = self._views.list_open(now)
        self._headroom.update(now)
        self._reservations.expire(now)
        placement_pass = _PlacementPass(
            self.cluster,
            self.interference_model,
            self._headroom,
            self._reservations,
            self._sampler,
            self.window,
            views,
            now,
            is_allowed,
        )
        placements = placement_pass.run()
        self.is_incomplete = placement_pass.is_incomplete
        return placements


class _PlacementPass:
    """One pass over the queue of ready tasks."""

    def __init__(
        self,
        cluster: ClusterState,
        interference_model: InterferenceModel,
        headroom: Headroom,
        reservations: WorkerReservations,
        sampler: WorkerSampler,
        window: StartWindow,
        views: list[WorkerView],
        now: float,
        is_allowed: IsAllowed,
    ):
        self._cluster = cluster
        self._interference_model = interference_model
        self._headroom = headroom
        self._reservations = reservations
        self._sampler = sampler
        self._window = window
        self._costs = CostModel(cluster, interference_model)
        self._now = now
        self._is_allowed = is_allowed
        self.is_incomplete = False
        self._long_running_left = MAX_LONG_RUNNING_STARTS
        self._infeasible: dict[StepShape, list[Room]] = {}
        self._infeasible_for_new: dict[StepShape, list[Room]] = {}
        self._failed_gangs: set[tuple[Job, int]] = set()
        self._views = views
        headroom.begin_pass(views)
        sampler.begin_pass(views)
        self._most_free = _find_most_free(views)

    def run(self) -> list[Placement]:
        """Places the tasks of each step until one does not fit."""
        placed: list[Placement] = []
        failed: collections.Counter[TaskKind] = collections.Counter()
        steps = sort_steps(self._cluster.ready.values(), self._now)
        newest = max(
            (s[0].job.accepted_at for s in steps if has_never_run(s[0])),
            default=0.0,
        )
        for step in steps:
            if is_coalescing(step, newest, self._now):
                continue
            if not self._window.admits(step[0], self._now):
                continue
            kind = get_kind(step[0].spec)
            if failed[kind] <= MAX_FAILED_STEPS and self._should_try(
                step, kind
            ):
                found, is_whole = self._place_step(step)
                placed += found
                failed[kind] += not is_whole
            # Beyond the limit, steps wait for the next pass and not for room.
            if is_restart_overdue(step[0], self._now) and (
                self._long_running_left
            ):
                self._reserve_worker(step)
        return placed

    def _should_try(self, step: list[Task], kind: TaskKind) -> bool:
        """Returns whether to search for a worker for a step in this pass."""
        if self._is_infeasible(step[0].spec):
            return False
        if (step[0].job, step[0].id.step) in self._failed_gangs:
            return False
        is_new = kind is TaskKind.LONG_RUNNING and has_never_run(step[0])
        return not is_new or not self._exceeds(
            step[0].spec, self._infeasible_for_new
        )

    def _reserve_worker(self, step: list[Task]) -> None:
        """Reserves a worker for the first task of a step that still waits."""
        task = next(filter(self._may_place, step), None)
        if task is None:
            return
        view = self._reservations.reserve(task, self._views, self._now)
        if view is not None:
            self._views.remove(view)
            self._sampler.remove(view)

    def _place_step(self, step: list[Task]) -> tuple[list[Placement], bool]:
        """Places tasks of a step; returns them and whether all were placed."""
        placed: list[Placement] = []
        candidates: Candidates | None = None
        for task in step:
            if not self._may_place(task):
                continue
            if not self._window.admits(task, self._now):
                return placed, True
            if task.spec.lasting and not self._long_running_left:
                self.is_incomplete = True
                return placed, True
            if task.spec.gang:
                members = self._place_gang(task)
                for member, _ in members:
                    self._window.add(member)
                placed += members
                if not members:
                    self._record_failed_gang(step)
                    return placed, False
                continue
            if candidates is None and _shares_step_costs(task):
                candidates = self._find_candidates(task)
            shared = candidates if _shares_step_costs(task) else None
            view = self._find_worker(task, shared)
            if view is None:
                return placed, False
            self._cluster.place([task], view.worker, self._now)
            self._window.add(task)
            view.refresh(self._interference_model)
            self._headroom.refresh(view)
            self._sampler.add(view)
            if candidates is not None:
                candidates.refresh(view)
            placed.append((task, view.worker))
            self._long_running_left -= task.spec.lasting
        return placed, True

    def _may_place(self, task: Task) -> bool:
        """Returns whether a task waits for nothing but a worker."""
        if task.phase is not TaskPhase.WAITING:
            return False
        return not (task.is_watched and awaits_proof(task, self._now))

    def _record_failed_gang(self, step: list[Task]) -> None:
        """Records that a gang does not fit, nor those of other occurrences.

        Members that failed on a worker, or may have crashed one, need another
        worker than those of other occurrences do.
        """
        has_other_limits = step[0].spec.most_per_worker or any(
            task.failed_on or task.is_watched for task in step
        )
        if not has_other_limits:
            self._failed_gangs.add((step[0].job, step[0].id.step))

    def _find_candidates(self, task: Task) -> Candidates:
        """Evaluates workers for the step that a task represents.

        Of thousands a sample comes first; all of them if none of it is left.
        """
        candidates = self._make_candidates(task)
        if self._sampler.is_needed(self._views):
            candidates.evaluate(self._sampler.choose(task))
            candidates.is_sample = True
        else:
            candidates.evaluate(self._views)
        return candidates

    def _make_candidates(self, task: Task) -> Candidates:
        if not task.spec.lasting:
            return StepCandidates(
                task, self._is_allowed, self._costs.make_cost_function(task)
            )
        return LongRunningCandidates(
            task,
            self._is_allowed,
            self._costs.make_lone_cost(task),
            self._costs.make_spread(task),
            self._keeps_headroom,
        )

    def _keeps_headroom(self, task: Task, view: WorkerView) -> bool:
        return self._headroom.allows(task, view, self._now)

    def _find_worker(
        self, task: Task, candidates: Candidates | None
    ) -> WorkerView | None:
        if candidates is None:
            return self._choose(task, self._views)
        view = candidates.find_cheapest(task)
        if view is None and candidates.is_sample:
            candidates.evaluate(self._views)
            candidates.is_sample = False
            view = candidates.find_cheapest(task)
        if view is None and not candidates.has_excluded_workers:
            self._record_infeasible(task, candidates.has_headroom_only)
        return view

    def _place_gang(self, task: Task) -> list[Placement]:
        """Places all members of a gang or none: they only work together."""
        members = self._cluster.list_step_tasks(task)
        if not all(map(self._may_place, members)):
            return []
        newest = max((t.checkpoint for t in members), default='')
        previous = [(t, t.run, t.skipped) for t in members]
        self._cluster.assign_run_number(members)
        views = self._views
        placed: list[Placement] = []
        for member in members:
            member.checkpoint = newest
            view = self._choose(member, views)
            if view is None:
                self._revert(placed, previous)
                return []
            self._cluster.place_with_run_number(member, view.worker, self._now)
            view.refresh(self._interference_model)
            placed.append((member, view.worker))
            if task.spec.same_rack:
                views = [v for v in views if v.worker.rack == view.worker.rack]
        return placed

    def _revert(
        self, placed: list[Placement], previous: list[tuple[Task, int, int]]
    ) -> None:
        for member, _ in placed:
            self._cluster.reject_start(member, member.run, None)
        for member, run, skipped in previous:
            member.run = run
            member.skipped = skipped
        for view in self._views:
            view.refresh(self._interference_model)

    def _choose(self, task: Task, views: list[WorkerView]) -> WorkerView | None:
        """Returns the cheapest worker that may run a task, or None."""
        fitting = [view for view in views if view.can_start(task)]
        allowed = [v for v in fitting if self._is_allowed(task, v.worker)]
        chosen = allowed
        if task.spec.lasting:
            chosen = [v for v in allowed if self._keeps_headroom(task, v)]
        best = self._find_cheapest(task, chosen)
        if best is None and len(allowed) == len(fitting):
            self._record_infeasible(task, len(chosen) < len(allowed))
        return best

    def _find_cheapest(
        self, task: Task, allowed: list[WorkerView]
    ) -> WorkerView | None:
        preferred = allowed
        if task.failed_on:
            preferred = [
                v for v in allowed if v.worker.id not in task.failed_on
            ]
        cost_function = self._costs.make_cost_function(task)
        if is_on_trial(task):
            return self._find_for_trial(preferred or allowed, cost_function)
        best, lowest_cost = None, math.inf
        for view in preferred or allowed:
            cost = cost_function(view)
            if cost < lowest_cost:
                best, lowest_cost = view, cost
        return best

    def _find_for_trial(
        self, allowed: list[WorkerView], cost_function: CostFunction
    ) -> WorkerView | None:
        suitable = [v for v in allowed if cost_function(v) < math.inf]
        return min(
            suitable,
            key=lambda view: measure_trial_risk(view.worker, self._now),
            default=None,
        )

    def _record_infeasible(self, task: Task, by_headroom: bool = False) -> None:
        """Records that steps like a task's, and larger ones, will not fit.

        Free resources only shrink during a pass. Gangs, steps with a limit per
        worker, watched tasks and those that failed on some worker are left out,
        because they can fail to fit for other reasons than size.

        Args:
          task: The task.
          by_headroom: Whether it would fit if it left no headroom.
        """
        spec = task.spec
        has_other_limits = spec.gang or spec.most_per_worker or task.failed_on
        if has_other_limits or task.is_watched:
            return
        infeasible = (
            self._infeasible_for_new if by_headroom else self._infeasible
        )
        infeasible.setdefault(get_shape(spec), []).append(spec.demand)

    def _is_infeasible(self, spec: StepSpec) -> bool:
        """Returns whether a step is known to fit on no worker in this pass."""
        if not spec.reserved.fits(self._most_free):
            return True
        return self._exceeds(spec, self._infeasible)

    def _exceeds(
        self, spec: StepSpec, infeasible: dict[StepShape, list[Room]]
    ) -> bool:
        """Returns whether a step is as large as one that did not fit."""
        smaller = infeasible.get(get_shape(spec), ())
        return any(demand.fits(spec.demand) for demand in smaller)


def _shares_step_costs(task: Task) -> bool:
    """Returns whether the costs of a task equal those of its step.

    A task that has failed on a worker avoids it, and a watched one avoids other
    tasks.
    """
    return not task.failed_on and not task.is_watched


def _find_most_free(views: list[WorkerView]) -> Room:
    """Returns the maximum free amount of each resource over all workers."""
    return Room(
        max((view.free.cores for view in views), default=0.0),
        max((view.free.memory_mb for view in views), default=0),
        max((view.free.accelerators for view in views), default=0),
    )


def get_shape(spec: StepSpec) -> StepShape:
    """Returns the shape of a step."""
    return (spec.label, spec.image if spec.fills else '', spec.fills)


def get_kind(spec: StepSpec) -> TaskKind:
    """Returns the kind of a step's tasks."""
    if spec.lasting:
        return TaskKind.LONG_RUNNING
    return TaskKind.BEST_EFFORT if spec.fills else TaskKind.PLAIN
