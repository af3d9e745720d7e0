"""Starts on workers whose capacity shrinks while they run."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Coroutine
from typing import Any

import attrs
import orjson
import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lentilmount.clock import ManualClock
from lentilmount.control import registry
from lentilmount.control.worker_commands import CommandSender
from lentilmount.control.worker_session import FORGET_SECONDS, WorkerSession
from lentilmount.platform.documents import decode_registration
from lentilmount.platform.workers import (
    CallStatus,
    CommandAnswer,
    StartCommand,
    WorkerClient,
)
from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import (
    Task,
    TaskPhase,
    Worker,
)
from lentilmount.scheduling.placement import Placer
from lentilmount.scheduling.reconciliation import Reconciler
from lentilmount.scheduling.reports import EndKind, WorkerEntry
from lentilmount.scheduling.reservations import WorkerReservations
from lentilmount.scheduling.specs import StepSpec
from lentilmount.scheduling.views import WorkerViews
from lentilmount.upstream.http import HttpClient
from stand_ins.limits import HEARTBEAT_SECONDS
from stand_ins.model_site import ModelSite
from stand_ins.virtual_time import run_virtual
from tests.helpers import run
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    hand_over,
    make_entry,
    make_job,
    make_policy,
    make_report,
    make_running,
    make_step,
    run_pass,
    run_task,
)
from tests.test_registry import ScriptedTable
from tests.test_session_state_machine import make_spec
from tests.test_worker_session import LEASE_SECONDS, IgnoringListener

CLOCK_MS = 1000
PASS_SECONDS = 0.1
OUTDATED_AT = 10.0
CAPACITY_SECONDS = 4.0
OUTAGE_SECONDS = 6.0

REPEATING_SECONDS = 2.5
"""Time in which an unanswered start is repeated several times."""


@attrs.define(eq=False)
class RecordingClient(WorkerClient):
    """Records the commands to all workers.

    Attributes:
      start_status: Outcome of each start.
      starts: Names of the tasks of all starts sent, in order.
      stops: Names of the tasks of all stops sent, in order.
    """

    start_status: CallStatus = CallStatus.DONE
    starts: list[str] = attrs.Factory(list)
    stops: list[str] = attrs.Factory(list)

    async def start(
        self, worker: WorkerEntry, command: StartCommand
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        self.starts.append(command.task)
        return CommandAnswer(self.start_status, CLOCK_MS)

    async def stop(
        self, worker: WorkerEntry, task: str, run: int
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        self.stops.append(task)
        return CommandAnswer(CallStatus.DONE, CLOCK_MS)


@attrs.define(eq=False)
class CommandScene:
    """The commands of an owner to some workers, in virtual time."""

    clock: ManualClock = attrs.Factory(ManualClock)
    cluster: ClusterState = attrs.Factory(ClusterState)
    client: RecordingClient = attrs.Factory(
        lambda: RecordingClient(HttpClient(''), 1, 1.0)
    )
    sessions: dict[str, WorkerSession] = attrs.Factory(dict)
    sent: list[Coroutine[Any, Any, None]] = attrs.Factory(list)
    wakes: list[bool] = attrs.Factory(list)
    commands: CommandSender = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Creates the command sender."""
        self.commands = CommandSender(
            self.cluster,
            self.client,
            self.sessions,
            IgnoringListener(),
            self.clock.monotonic,
            self.sent.append,
            lambda task, worker: '',
            lambda: self.wakes.append(True),
        )

    def add_worker(self, name: str, cores: float = 8.0) -> Worker:
        """Adds a worker with a session that knows its clock."""
        worker = add_worker(self.cluster, name, capacity=Room(cores, 16_000))
        session = WorkerSession(
            worker,
            self.cluster,
            self.client,
            IgnoringListener(),
            LEASE_SECONDS,
            self.clock.monotonic,
        )
        session.update_clock(CLOCK_MS)
        self.sessions[name] = session
        return worker

    def resize(self, worker: Worker, cores: float) -> None:
        """Registers a worker with another number of cores."""
        entry = make_entry(worker.id, capacity=Room(cores, 16_000))
        self.cluster.register_worker(entry)

    def place(
        self, job_id: str, worker: Worker, step: StepSpec | None = None
    ) -> Task:
        """Places the first task of a new job on a worker."""
        admit(self.cluster, make_job(job_id, step or make_step()))
        task = find_task(self.cluster, job_id)
        self.cluster.place([task], worker, self.clock.monotonic())
        return task

    def run(self) -> None:
        """Runs all commands, and those that they cause."""

        async def play() -> None:
            while self.sent:
                batch = [*self.sent]
                self.sent.clear()
                await asyncio.gather(*batch)

        run_virtual(play(), self.clock)


@pytest.mark.parametrize(('cores', 'started'), [(2.0, 1), (1.0, 0), (4.0, 2)])
def test_placed_starts_are_not_sent_to_a_worker_that_has_shrunk(
    cores: float, started: int
) -> None:
    """Starts sent after a slow write overloaded a worker that had shrunk."""
    scene = CommandScene()
    worker = scene.add_worker('w')
    tasks = [scene.place(f'job-{number}', worker) for number in range(2)]
    scene.resize(worker, cores)
    for task in tasks:
        scene.commands.start(task)
    scene.run()
    assert len(scene.client.starts) == started
    assert len(scene.cluster.ready) == 2 - started
    assert worker.used.fits(worker.entry.capacity)
    assert scene.client.stops == []
    assert len(scene.wakes) == 2 - started


def test_running_tasks_go_on_where_a_start_is_withdrawn() -> None:
    """A worker that shrank below what runs there got another start."""
    scene = CommandScene()
    worker = scene.add_worker('w')
    admit(scene.cluster, make_job('running', make_step(demand=Room(4.0, 1000))))
    running = find_task(scene.cluster, 'running')
    run_task(scene.cluster, running, worker)
    task = scene.place('job', worker)
    scene.resize(worker, 3.0)
    scene.commands.start(task)
    scene.run()
    assert scene.client.starts == scene.client.stops == []
    assert (running.phase, task.phase) == (TaskPhase.RUNNING, TaskPhase.WAITING)


def test_a_gang_is_withdrawn_as_a_whole() -> None:
    """A member whose worker had shrunk was missing, and the others waited."""
    scene = CommandScene()
    large, small = scene.add_worker('large'), scene.add_worker('small')
    admit(scene.cluster, make_job('gang', make_step(count=2, gang=True)))
    members = [find_task(scene.cluster, 'gang', 0, n) for n in range(2)]
    scene.cluster.assign_run_number(members)
    for member, worker in zip(members, (large, small), strict=True):
        scene.cluster.place_with_run_number(member, worker, 0.0)
    scene.resize(small, 1.0)
    for member in members:
        scene.commands.start(member)
    scene.run()
    assert scene.client.starts == scene.client.stops == []
    assert [member.phase for member in members] == [TaskPhase.WAITING] * 2
    assert not large.tasks


def test_sent_members_of_a_withdrawn_gang_are_stopped() -> None:
    """A member that was sent before its gang was withdrawn waited alone."""
    scene = CommandScene()
    large, small = scene.add_worker('large'), scene.add_worker('small')
    admit(scene.cluster, make_job('gang', make_step(count=2, gang=True)))
    sent, unsent = (find_task(scene.cluster, 'gang', 0, n) for n in range(2))
    scene.cluster.assign_run_number([sent, unsent])
    scene.cluster.place_with_run_number(sent, large, 0.0)
    scene.cluster.place_with_run_number(unsent, small, 0.0)
    scene.commands.start(sent)
    scene.run()
    scene.resize(small, 1.0)
    scene.commands.start(unsent)
    scene.run()
    assert scene.client.starts == scene.client.stops == [str(sent.id)]
    assert sent.phase is TaskPhase.STOPPING
    assert unsent.phase is TaskPhase.WAITING


def test_an_unanswered_start_is_not_repeated_to_a_worker_that_has_shrunk(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The first copy was lost, and a later one overloaded the worker."""
    # Its polls are answered all the while.
    monkeypatch.setattr(WorkerSession, 'is_asked_since', lambda self, at: True)
    scene = CommandScene()
    worker = scene.add_worker('w')
    scene.client.start_status = CallStatus.UNKNOWN
    task = scene.place('job', worker)
    scene.commands.start(task)

    async def play() -> None:
        command = asyncio.create_task(scene.sent.pop())
        await asyncio.sleep(REPEATING_SECONDS)
        repeated = len(scene.client.starts)
        assert repeated > 1
        scene.resize(worker, 1.0)
        await asyncio.sleep(REPEATING_SECONDS)
        assert len(scene.client.starts) == repeated
        assert scene.client.stops == []
        assert task.phase is TaskPhase.STARTING
        scene.resize(worker, 8.0)
        await asyncio.sleep(REPEATING_SECONDS)
        assert len(scene.client.starts) > repeated
        scene.cluster.reject_start(task, task.run)
        await command

    run_virtual(play(), scene.clock)


def test_a_worker_that_rejects_a_start_for_room_is_left_out_for_a_while() -> (
    None
):
    """Tasks were placed in each pass on a worker that rejected them."""
    scene = CommandScene()
    worker = scene.add_worker('w')
    scene.client.start_status = CallStatus.NO_ROOM
    task = scene.place('job', worker)
    scene.commands.start(task)
    scene.run()
    assert task.phase is TaskPhase.WAITING
    now = scene.clock.monotonic()
    placer = Placer(scene.cluster, InterferenceModel())
    assert run_pass(placer, now + PASS_SECONDS) == []
    assert run_pass(placer, now + FORGET_SECONDS) == [(task, worker)]


@pytest.mark.parametrize('status', [CallStatus.NO_ROOM, CallStatus.TOO_LATE])
def test_a_gang_of_which_a_member_was_rejected_is_stopped(
    status: CallStatus,
) -> None:
    """The other members waited for one whose worker had no room for it."""
    scene = CommandScene()
    large, small = scene.add_worker('large'), scene.add_worker('small')
    admit(scene.cluster, make_job('gang', make_step(count=2, gang=True)))
    started, rejected = (
        find_task(scene.cluster, 'gang', 0, n) for n in range(2)
    )
    scene.cluster.assign_run_number([started, rejected])
    scene.cluster.place_with_run_number(started, large, 0.0)
    scene.cluster.place_with_run_number(rejected, small, 0.0)
    scene.commands.start(started)
    scene.run()
    scene.client.start_status = status
    scene.commands.start(rejected)
    scene.run()
    assert scene.client.stops == [str(started.id)]
    assert started.phase is TaskPhase.STOPPING
    assert rejected.phase is TaskPhase.WAITING


def test_no_task_is_placed_by_an_outdated_registration() -> None:
    """Tasks were placed while nothing could tell that a worker had shrunk."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w', usable_until=OUTDATED_AT)
    admit(cluster, make_job('job', make_step(count=2)))
    first, second = (find_task(cluster, 'job', 0, n) for n in range(2))
    placer = Placer(cluster, InterferenceModel())
    cluster.ready.pop(second.id)
    assert run_pass(placer, OUTDATED_AT) == [(first, worker)]
    cluster.ready[second.id] = second
    later = OUTDATED_AT + PASS_SECONDS
    assert run_pass(placer, later) == []
    cluster.register_worker(make_entry('w', usable_until=later))
    assert run_pass(placer, later) == [(second, worker)]


def test_placed_starts_are_not_sent_by_an_outdated_registration() -> None:
    """Starts were sent after an outage before the registrations were read."""
    scene = CommandScene()
    worker = scene.add_worker('w')
    usable_until = scene.clock.monotonic() + OUTAGE_SECONDS
    scene.cluster.register_worker(make_entry('w', usable_until=usable_until))
    tasks = [scene.place(f'job-{number}', worker) for number in range(2)]
    scene.clock.advance(OUTAGE_SECONDS)
    scene.commands.start(tasks[0])
    scene.run()
    scene.clock.advance(PASS_SECONDS)
    scene.commands.start(tasks[1])
    scene.run()
    assert scene.client.starts == [str(tasks[0].id)]
    assert tasks[1].phase is TaskPhase.WAITING


def test_the_age_of_a_registration_counts_from_the_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A list that took seconds to arrive counted as new."""
    monkeypatch.setattr(registry, 'POLL_SECONDS', 0.0)
    clock = ManualClock()
    first = clock.monotonic()
    answers = [(0.5, 'a'), (4.0, None), (3.0, 'a')]
    entries: list[WorkerEntry] = []

    async def play() -> None:
        await registry.poll_workers(
            ScriptedTable(clock, answers),
            'desk',
            entries.append,
            lambda worker_id: None,
            clock.monotonic,
            capacity_seconds=CAPACITY_SECONDS,
        )

    with pytest.raises(asyncio.CancelledError):
        run(play())
    usable_seconds = [entry.usable_until - first for entry in entries]
    limit = registry.MAX_LIST_SECONDS
    assert usable_seconds == pytest.approx([limit, 4.5 + limit])


@pytest.mark.parametrize(
    'capacity',
    [
        {'cpu': '8000', 'memMb': 1000},
        {'cpu': 'inf', 'memMb': 1000},
        {'cpu': 'nan', 'memMb': 1000},
        {'cpu': True, 'memMb': 1000},
        {'cpu': 8000, 'memMb': '1000'},
        {'cpu': 8000, 'memMb': 1000, 'gpu': [1]},
        {'cpu': 8000, 'memMb': -1},
        '',
        None,
    ],
)
def test_a_registration_without_a_valid_capacity_is_ignored(
    capacity: Any,
) -> None:
    """A capacity given as text was read as a number, such as infinity."""
    assert decode_registration('w', encode_registration(capacity)) is None


@pytest.mark.parametrize(
    ('capacity', 'expected'),
    [
        ({}, Room()),
        ({'cpu': 1500, 'memMb': 64}, Room(1.5, 64)),
        ({'cpu': 1500.0, 'memMb': 64, 'gpu': 0}, Room(1.5, 64)),
        ({'memMb': 64, 'gpu': 2}, Room(0.0, 64, 2)),
    ],
)
def test_a_capacity_may_omit_what_a_worker_lacks(
    capacity: dict[str, float], expected: Room
) -> None:
    """A worker that shrinks to nothing must not keep its last capacity."""
    entry = decode_registration('w', encode_registration(capacity))
    assert entry is not None
    assert entry.capacity == expected


def encode_registration(capacity: Any) -> bytes:
    """Returns the registration of a worker, as it writes it."""
    return orjson.dumps(
        {
            'service': 'desk',
            'address': 'w:1',
            'zone': 'north',
            'state': 'ready',
            'born': 1,
            'capacity': capacity,
        }
    )


def test_a_run_that_must_be_stopped_counts_until_it_has_ended() -> None:
    """A start was sent beside a stale run, whose capacity seemed free."""
    cluster = ClusterState()
    worker, other = (add_worker(cluster, name) for name in ('w', 'other'))
    admit(cluster, make_job('moved', make_step(demand=Room(6.0, 1000))))
    moved = find_task(cluster, 'moved')
    run_task(cluster, moved, worker)
    stale_run = moved.run
    cluster.end_run(moved, EndKind.LAPSED, 2.0)
    run_task(cluster, moved, other, 3.0)
    reconciler = Reconciler(cluster)
    listed = make_report((make_running(moved, stale_run),))
    assert reconciler.reconcile(worker, listed, 4.0, 4.0).stale_runs
    admit(cluster, make_job('job', make_step(demand=Room(4.0, 1000))))
    placer = Placer(cluster, InterferenceModel())
    assert run_pass(placer, 4.0) == []
    reconciler.reconcile(worker, make_report(), 5.0, 5.0)
    assert run_pass(placer, 5.0) == [(find_task(cluster, 'job'), worker)]


def test_a_stopping_task_counts_once_in_reports() -> None:
    """A task that is being stopped is listed and reserves its room already."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('job', make_step(demand=Room(6.0, 1000))))
    task = find_task(cluster, 'job')
    run_task(cluster, task, worker)
    cluster.begin_stop(task)
    listed = make_report((make_running(task, task.run),))
    Reconciler(cluster).reconcile(worker, listed, 4.0, 4.0)
    assert worker.used == Room(6.0, 1000)


@pytest.mark.parametrize('cores', [0.0, 0.5, 4.0])
@pytest.mark.parametrize(
    'step',
    [
        make_step(),
        make_step(lasting=True, image='x', target_ms=50.0),
        make_step(fills=True, image='x'),
        make_step(count=2, gang=True),
        make_step(count=3),
    ],
    ids=['plain', 'serving', 'best-effort', 'gang', 'wide'],
)
def test_each_pass_uses_the_newest_capacity(
    step: StepSpec, cores: float
) -> None:
    """No state that is kept between passes may hide that a worker shrank.

    What runs there exceeds the capacity, so its free resources are negative.
    """
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    full = make_step(demand=Room(5.0, 1000), lasting=True, image='x')
    admit(cluster, make_job('running', full))
    run_task(cluster, find_task(cluster, 'running'), worker)
    placer = Placer(cluster, InterferenceModel())
    assert run_pass(placer, 4.0) == []
    cluster.register_worker(make_entry('w', capacity=Room(cores, 16_000)))
    urgent = make_policy(stretch=99.0)
    admit(cluster, make_job('urgent', policy=urgent))
    admit(cluster, make_job('job', step))
    assert run_pass(placer, 5.0) == []
    assert placer.choose_moves(5.0) == []
    cluster.register_worker(make_entry('w', capacity=Room(16.0, 16_000)))
    assert len(run_pass(placer, 5.1)) == 1 + step.count


def test_a_new_owner_places_nothing_before_it_has_read_registrations() -> None:
    """Rows tell which worker runs a task, and nothing of its capacity."""
    cluster = ClusterState()
    admit(cluster, make_job('job', make_step(count=2)))
    worker = add_worker(cluster, 'w')
    cluster.place([find_task(cluster, 'job')], worker, 1.0)
    successor = hand_over(cluster)
    successor.workers['w'].has_answered = True
    successor.workers['w'].reachable = True
    placer = Placer(successor, InterferenceModel())
    assert run_pass(placer, 5.0) == []
    successor.register_worker(make_entry('w', capacity=Room(2.0, 16_000)))
    assert run_pass(placer, 5.0) == []
    successor.register_worker(make_entry('w', capacity=Room(4.0, 16_000)))
    assert len(run_pass(placer, 5.0)) == 1


def test_a_task_adopted_from_a_report_counts_before_a_start_is_sent() -> None:
    """A worker listed an unknown run after a start was placed beside it."""
    scene = CommandScene()
    worker = scene.add_worker('w')
    admit(scene.cluster, make_job('inherited', make_step(demand=Room(7.0, 1))))
    inherited = find_task(scene.cluster, 'inherited')
    task = scene.place('job', worker)
    listed = make_report((make_running(inherited, 1),))
    Reconciler(scene.cluster).reconcile(worker, listed, 4.0, 4.0)
    assert inherited.phase is TaskPhase.RUNNING
    scene.commands.start(task)
    scene.run()
    assert scene.client.starts == []
    assert task.phase is TaskPhase.WAITING


def test_a_reservation_ends_where_the_worker_has_shrunk() -> None:
    """A worker was held for a task that would not fit there any more."""
    cluster = ClusterState()
    names = ('w', 'other')
    for name, cores in zip(names, (5.0, 4.0), strict=True):
        worker = add_worker(cluster, name, capacity=Room(cores, 64_000))
        step = make_step(demand=Room(3.0, 1000))
        admit(cluster, make_job(f'short-{name}', step))
        run_task(cluster, find_task(cluster, f'short-{name}'), worker)
    admit(cluster, make_job('job', make_step(demand=Room(4.0, 1000))))
    task = find_task(cluster, 'job')
    reservations = WorkerReservations()
    views = WorkerViews(cluster, InterferenceModel())
    reserved = []
    for cores in (5.0, 3.5):
        cluster.register_worker(make_entry('w', capacity=Room(cores, 64_000)))
        view = reservations.reserve(task, views.list_open(2.0), 2.0)
        assert view is not None
        reserved.append(view.worker.id)
    assert reserved == ['w', 'other']


@attrs.define(eq=False)
class ResizedWorkers(RecordingClient):
    """Workers that start whatever they are told to.

    Attributes:
      cluster: Cluster state of their owner.
      running: Tasks that run, by worker id.
      overloaded: Ids of the workers that a start brought over their capacity.
    """

    cluster: ClusterState = attrs.field(factory=ClusterState)
    running: dict[str, list[Task]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )
    overloaded: list[str] = attrs.Factory(list)

    async def start(
        self, worker: WorkerEntry, command: StartCommand
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        task = self.cluster.find_task(command.task)
        assert task is not None
        running = self.running[worker.id]
        running.append(task)
        used = Room()
        for other in running:
            used = used.add(other.spec.reserved)
        if not used.fits(worker.capacity):
            self.overloaded.append(worker.id)
        return CommandAnswer(CallStatus.DONE, CLOCK_MS)


class ShrinkingMachine(RuleBasedStateMachine):
    """Random placements, writes that end later, and changes of capacity."""

    def __init__(self) -> None:
        super().__init__()
        self.client = ResizedWorkers(HttpClient(''), 1, 1.0)
        self.scene = CommandScene(client=self.client)
        self.cluster = self.client.cluster = self.scene.cluster
        self.placer = Placer(self.cluster, InterferenceModel())
        self.written: list[Task] = []
        self.jobs = 0
        for number in range(3):
            self.scene.add_worker(f'w{number}')

    @rule(
        count=strategies.integers(1, 4),
        cores=strategies.integers(1, 6),
        fills=strategies.booleans(),
        gang=strategies.booleans(),
    )
    def submit(self, count: int, cores: int, fills: bool, gang: bool) -> None:
        step = make_step(
            count=count,
            demand=Room(float(cores), 3000),
            fills=fills,
            gang=gang,
            image='f' if fills else '',
        )
        admit(self.cluster, make_job(f'j{self.jobs}', step))
        self.jobs += 1
        self.run_placement_pass()

    @rule()
    def run_placement_pass(self) -> None:
        self.scene.clock.advance(PASS_SECONDS)
        placed = run_pass(self.placer, self.scene.clock.monotonic())
        self.written += [task for task, _ in placed]

    @rule()
    def finish_write(self) -> None:
        for task in self.written:
            self.scene.commands.start(task)
        self.written.clear()
        self.scene.run()

    @rule(number=strategies.integers(0, 2), cores=strategies.integers(0, 9))
    def resize(self, number: int, cores: int) -> None:
        self.scene.resize(self.cluster.workers[f'w{number}'], float(cores))

    @rule(
        number=strategies.integers(0, 2),
        kind=strategies.sampled_from([EndKind.DONE, EndKind.LAPSED]),
    )
    def end(self, number: int, kind: EndKind) -> None:
        running = self.client.running[f'w{number}']
        for task in running[:1]:
            running.remove(task)
            self.cluster.end_run(task, kind, self.scene.clock.monotonic())

    @invariant()
    def no_start_exceeds_the_capacity(self) -> None:
        assert self.client.overloaded == []

    @invariant()
    def what_runs_is_placed_there(self) -> None:
        for name, running in self.client.running.items():
            assert all(task.worker == name for task in running)


ShrinkingMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
TestShrinkingMachine = ShrinkingMachine.TestCase


@pytest.mark.parametrize('replaces_owner', [True, False])
def test_no_task_is_started_by_a_registration_of_before_an_outage(
    replaces_owner: bool,
) -> None:
    """A worker that shrank in an outage of the store was taken for large."""
    clock = ManualClock()
    site = ModelSite(clock)

    async def scenario() -> None:
        site.add_worker()
        site.start_owner()
        await asyncio.sleep(2.0)
        site.take_store_down(OUTAGE_SECONDS)
        site.resize(site.workers[0], 1.0, OUTAGE_SECONDS + HEARTBEAT_SECONDS)
        if replaces_owner:
            await site.kill_owner()
            site.start_owner()
        site.submit(make_spec(0, 'short', False))
        await asyncio.sleep(2 * OUTAGE_SECONDS)
        site.check()
        await site.kill_owner()

    run_virtual(scenario(), clock)
    assert site.violations == []
