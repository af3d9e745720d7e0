"""Which worker a task goes to."""

from __future__ import annotations

import collections
import enum
import math
from collections.abc import Iterable

import attrs

from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.consolidation import Consolidation
from lentilmount.scheduling.costs import Costs
from lentilmount.scheduling.demand import BestEffortDemand
from lentilmount.scheduling.headroom import Headroom
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.offers import Allows, Offers
from lentilmount.scheduling.ranking import (
    is_gathering,
    is_new,
    is_restart_overdue,
    sort_steps,
)
from lentilmount.scheduling.reservations import WorkerReservations
from lentilmount.scheduling.specs import StepSpec
from lentilmount.scheduling.views import Views, WorkerView

MAX_FAILED_STEPS = 40
"""Steps of one kind for which no worker is found in a pass before the others
of that kind are left to the next one: it bounds the time of a pass."""

Chosen = tuple[Task, Worker]
Shape = tuple[str, str, bool]
"""What tasks have in common of which the smaller fits wherever the larger does:
label, filling image, and whether they fill."""


class Kind(enum.Enum):
    """What a task asks of a worker. A want of one is no want of another."""

    LONG_RUNNING = enum.auto()
    BEST_EFFORT = enum.auto()
    PLAIN = enum.auto()


@attrs.define
class Placer:
    """Chooses workers for the tasks of a book that are ready."""

    cluster: ClusterState
    interference_model: InterferenceModel
    _views: Views = attrs.field(init=False)
    _consolidation: Consolidation = attrs.field(init=False)
    _headroom: Headroom = attrs.field(init=False)
    _holds: WorkerReservations = attrs.Factory(WorkerReservations)

    def __attrs_post_init__(self) -> None:
        """Keeps what is worked out from pass to pass."""
        self._views = Views(self.cluster, self.interference_model)
        demand = BestEffortDemand(self.cluster, self.interference_model)
        self._consolidation = Consolidation(self.cluster, demand)
        self._headroom = Headroom(self.cluster)

    def choose_moves(self, now: float) -> list[Task]:
        """Chooses serving tasks to be stopped, as they serve better elsewhere.

        Placed again they go to a worker of their image, where there is room.
        """
        if not self._consolidation.is_due(now):
            return []
        return self._consolidation.choose(self._views.list_open(now), now)

    def place(self, now: float, allows: Allows) -> list[Chosen]:
        """Places what can be placed now, and returns it."""
        if not self.cluster.ready:
            return []
        views = self._views.list_open(now)
        self._headroom.update(now)
        self._holds.expire(now)
        work = _Pass(
            self.cluster,
            self.interference_model,
            self._headroom,
            self._holds,
            views,
            now,
            allows,
        )
        return work.run()


class _Pass:
    """One pass over the queue."""

    def __init__(
        self,
        cluster: ClusterState,
        interference_model: InterferenceModel,
        headroom: Headroom,
        holds: WorkerReservations,
        views: list[WorkerView],
        now: float,
        allows: Allows,
    ):
        self._cluster = cluster
        self._interference_model = interference_model
        self._headroom = headroom
        self._holds = holds
        self._costs = Costs(cluster, interference_model)
        self._now = now
        self._allows = allows
        self._hopeless: dict[Shape, list[Room]] = {}
        self._views = views
        self._most_free = _find_most_free(views)

    def run(self) -> list[Chosen]:
        """Places the tasks of each step until one does not fit."""
        placed: list[Chosen] = []
        failed: collections.Counter[Kind] = collections.Counter()
        steps = sort_steps(self._cluster.ready.values(), self._now)
        newest = max(
            (s[0].job.accepted_at for s in steps if is_new(s[0])),
            default=0.0,
        )
        for step in steps:
            if is_gathering(step, newest, self._now):
                continue
            kind = find_kind(step[0].spec)
            if failed[kind] <= MAX_FAILED_STEPS and self._is_tried(step, kind):
                found, is_whole = self._place_step(step)
                placed += found
                failed[kind] += not is_whole
            if is_restart_overdue(step[0], self._now):
                self._hold_worker(step)
        return placed

    def _is_tried(self, step: list[Task], kind: Kind) -> bool:
        """Tells whether a worker is looked for now."""
        if self._is_hopeless(step[0].spec):
            return False
        return kind is not Kind.LONG_RUNNING or not self._headroom.keeps_room(
            step, self._views, self._now
        )

    def _hold_worker(self, step: list[Task]) -> None:
        """Holds a worker for what waits of a step until it fits there."""
        waiting = (t for t in step if t.phase is TaskPhase.WAITING)
        task = next(waiting, None)
        if task is None:
            return
        view = self._holds.reserve(task, self._views, self._now)
        if view is not None:
            self._views.remove(view)

    def _place_step(self, step: list[Task]) -> tuple[list[Chosen], bool]:
        """Places tasks of a step; tells whether a worker was found for all."""
        placed: list[Chosen] = []
        offers: Offers | None = None
        for task in step:
            if task.phase is not TaskPhase.WAITING:
                continue
            if task.spec.gang:
                members = self._place_gang(task)
                placed += members
                if not members:
                    return placed, False
                continue
            if offers is None and _is_like_its_step(task):
                offers = self._ask_all(task)
            shared = offers if _is_like_its_step(task) else None
            view = self._find_worker(task, shared)
            if view is None:
                return placed, False
            self._cluster.place([task], view.worker, self._now)
            view.refresh(self._interference_model)
            if offers is not None:
                offers.refresh(view)
            placed.append((task, view.worker))
        return placed, True

    def _ask_all(self, task: Task) -> Offers:
        """Asks all workers for a step that a task stands for."""
        offers = Offers(task, self._allows, self._costs.make_price(task))
        offers.ask_all(self._views)
        return offers

    def _find_worker(
        self, task: Task, offers: Offers | None
    ) -> WorkerView | None:
        if offers is None:
            return self._choose(task, self._views)
        view = offers.find_cheapest()
        if view is None and not offers.is_held_back:
            self._note_hopeless(task)
        return view

    def _place_gang(self, task: Task) -> list[Chosen]:
        """Places all members or none: alone each would only wait."""
        members = self._cluster.list_step(task)
        if any(t.phase is not TaskPhase.WAITING for t in members):
            return []
        newest = max((t.checkpoint for t in members), default='')
        before = [(t, t.run, t.skipped) for t in members]
        self._cluster.number(members)
        views = self._views
        chosen: list[Chosen] = []
        for member in members:
            member.checkpoint = newest
            view = self._choose(member, views)
            if view is None:
                self._undo(chosen, before)
                return []
            self._cluster.place_numbered(member, view.worker, self._now)
            view.refresh(self._interference_model)
            chosen.append((member, view.worker))
            if task.spec.same_rack:
                views = [v for v in views if v.worker.rack == view.worker.rack]
        return chosen

    def _undo(
        self, chosen: list[Chosen], before: list[tuple[Task, int, int]]
    ) -> None:
        for member, _ in chosen:
            self._cluster.reject_start(member, member.run)
        for member, run, skipped in before:
            member.run = run
            member.skipped = skipped
        for view in self._views:
            view.refresh(self._interference_model)

    def _choose(
        self, task: Task, views: Iterable[WorkerView]
    ) -> WorkerView | None:
        """Returns the cheapest worker that may take a task, or None."""
        fitting = [view for view in views if view.can_start(task)]
        able = [v for v in fitting if self._allows(task, v.worker)]
        best = self._find_cheapest(task, able)
        if best is None and len(able) == len(fitting):
            self._note_hopeless(task)
        return best

    def _find_cheapest(
        self, task: Task, able: list[WorkerView]
    ) -> WorkerView | None:
        untried = able
        if task.failed_on:
            untried = [v for v in able if v.worker.id not in task.failed_on]
        cost = self._costs.make_price(task)
        best, least = None, math.inf
        for view in untried or able:
            price = cost(view)
            if price < least:
                best, least = view, price
        return best

    def _note_hopeless(self, task: Task) -> None:
        """Notes that no more steps like a task's need be tried.

        Rooms only shrink during a pass. Members of gangs, steps that are
        bounded per worker, and tasks that have failed somewhere find none for
        reasons of their own.
        """
        spec = task.spec
        own = spec.gang or spec.most_per_worker or task.failed_on
        if not own:
            self._hopeless.setdefault(make_shape(spec), []).append(spec.demand)

    def _is_hopeless(self, spec: StepSpec) -> bool:
        """Tells whether it is known without a look that no worker fits."""
        if not spec.reserved.fits(self._most_free):
            return True
        smaller = self._hopeless.get(make_shape(spec), ())
        return any(demand.fits(spec.demand) for demand in smaller)


def _is_like_its_step(task: Task) -> bool:
    """Whether a worker costs a task what it costs the others of its step.

    A lasting task's cost depends on where the others are, and one that has
    failed somewhere keeps away from there.
    """
    return not task.spec.lasting and not task.failed_on


def _find_most_free(views: list[WorkerView]) -> Room:
    """Returns the most of each resource that any worker has free."""
    return Room(
        max((view.free.cores for view in views), default=0.0),
        max((view.free.memory_mb for view in views), default=0),
        max((view.free.accelerators for view in views), default=0),
    )


def make_shape(spec: StepSpec) -> Shape:
    """Returns what decides beside its size which workers can take a step."""
    return (spec.label, spec.image if spec.fills else '', spec.fills)


def find_kind(spec: StepSpec) -> Kind:
    """Returns the kind of a step."""
    if spec.lasting:
        return Kind.LONG_RUNNING
    return Kind.BEST_EFFORT if spec.fills else Kind.PLAIN
