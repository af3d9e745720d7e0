"""The plan of a soak: jobs and faults, drawn from one seed."""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Callable, Collection
from typing import Any

import attrs
import orjson

from lentilmount.codec import unstructure
from soak.work import CRASHING, Work, WorkKind, encode_payload
from stand_ins.model_worker import POLL_PATH, START_PATH, STOP_PATH

WRITE_PATH = '/rows-tx'

JOBS_PER_SECOND = 3.0
DEFAULT_FAULTS_PER_SECOND = 5.0
CALM_SECONDS = 2.0
"""Time at the start without faults."""

TASKS_PER_STEP = (6, 9)
TASK_SECONDS = (0.3, 1.5)
LONG_TASK_SECONDS = (4.0, 9.0)
LONG_TASKS_SHARE = 0.02
ESTIMATES_MS = (0, 30, 900, 9000)
"""Declared run times of tasks in milliseconds; 0 for none."""

MAX_HANGING_ESTIMATE_MS = 900
"""Longest estimate of a task that hangs: it must be found, and run again, in
the time after the last fault."""


class FaultKind(enum.Enum):
    """Kinds of faults.

    RESET resets a reused connection once a call has been delivered, before any
    answer. UNHEALTHY lets a worker reject starts, having done nothing. BURST
    resets all connections of a link. PAUSE, KILL and STOP are signals to a
    process (SIGSTOP and SIGCONT, SIGKILL, SIGTERM). RESIZE changes the cores of
    a worker for a while, which registers them a little later. CORDON keeps new
    work from a zone for a while.
    """

    RESET = 'reset'
    DELAY_CALL = 'delay-call'
    DELAY_ANSWER = 'delay-answer'
    LOSE_ANSWER = 'lose-answer'
    SILENCE = 'silence'
    CUT_CALLS = 'cut-calls'
    CUT_ANSWERS = 'cut-answers'
    UNHEALTHY = 'unhealthy'
    BURST = 'burst'
    PAUSE = 'pause'
    KILL = 'kill'
    STOP = 'stop'
    RESIZE = 'resize'
    CORDON = 'cordon'


PROCESS_FAULTS = {
    FaultKind.PAUSE,
    FaultKind.KILL,
    FaultKind.STOP,
    FaultKind.RESIZE,
}
"""Faults of processes; all others are faults of links."""

ZONES = ('north', 'south')
"""Zones of the workers, in turn."""

TASK_CORES = 1.0
"""Cores of each task."""


@attrs.frozen
class Fault:
    """A fault.

    Attributes:
      at: Time in seconds after the start of the plan.
      kind: Kind of the fault.
      target: Name of the workers' position, of the host or of the link.
      path: Path of the calls that it concerns; '' for all.
      count: Number of calls that it concerns.
      seconds: Delay of a call, or duration, in seconds.
      status: Status with which a worker then answers starts; 0 for none.
      unhealthy_seconds: Time for which it does so.
      has_new_id: Whether a killed worker comes back under another id.
      cores: Cores of a worker that is resized.
    """

    at: float
    kind: FaultKind
    target: str
    path: str = ''
    count: int = 1
    seconds: float = 0.0
    status: int = 0
    unhealthy_seconds: float = 0.0
    has_new_id: bool = False
    cores: float = 0.0


@attrs.frozen
class Job:
    """A job that a client submits.

    Attributes:
      at: Time in seconds after the start of the plan.
      id: Id of the job.
      host: Number of the host that gets it first.
      steps: Work of the tasks of each step; each step follows the one before.
      is_resent: Whether it is sent again after it was accepted.
      cancel_after: Seconds from then until it is cancelled; 0 for never.
      estimated_ms: Declared run time of its tasks in milliseconds; 0 for none.
    """

    at: float
    id: str
    host: int
    steps: tuple[tuple[Work, ...], ...]
    is_resent: bool = False
    cancel_after: float = 0.0
    estimated_ms: int = 900

    @property
    def is_lasting(self) -> bool:
        """Whether its tasks run until it is cancelled."""
        return self.steps[0][0].kind is WorkKind.LASTING

    @property
    def is_crashing(self) -> bool:
        """Whether a task of it crashes its workers."""
        return self.has_work({kind.value for kind in CRASHING})

    def has_work(self, kinds: Collection[str]) -> bool:
        """Returns whether the work of a task is of one of some kinds."""
        return any(w.kind.value in kinds for step in self.steps for w in step)

    def make_document(self) -> dict[str, Any]:
        """Returns the body of its submission."""
        steps = []
        for number, step in enumerate(self.steps):
            document: dict[str, Any] = {
                'count': len(step),
                'cpu': int(1000 * TASK_CORES),
                'memMb': 500,
            }
            if self.estimated_ms:
                document['estimatedMs'] = self.estimated_ms
            if number:
                document['after'] = [number - 1]
            if self.is_lasting:
                document['longRunning'] = True
            steps.append(document)
        return {'spec': encode_payload(self.steps), 'steps': steps}


@attrs.frozen
class Size:
    """Size of a soak.

    Attributes:
      seconds: Time in seconds in which jobs are submitted and faults happen.
      daemons: Number of daemons.
      workers: Number of workers.
      faults_per_second: Mean number of faults per second.
    """

    seconds: float
    daemons: int
    workers: int
    faults_per_second: float = DEFAULT_FAULTS_PER_SECOND


@attrs.frozen
class Plan:
    """All that a soak does.

    Attributes:
      seed: Seed from which it was drawn.
      size: Size of the soak.
      jobs: Jobs in the order of their times.
      faults: Faults in the order of their times.
    """

    seed: int
    size: Size
    jobs: tuple[Job, ...]
    faults: tuple[Fault, ...]

    def omit(self, kinds: Collection[str]) -> Plan:
        """Returns the plan without some kinds of faults and of work."""
        return attrs.evolve(
            self,
            faults=tuple(f for f in self.faults if f.kind.value not in kinds),
            jobs=tuple(j for j in self.jobs if not j.has_work(kinds)),
        )

    def encode(self) -> str:
        """Returns the plan as lines of JSON."""
        head = {'seed': self.seed, 'size': unstructure(self.size)}
        rows = [{'fault': unstructure(fault)} for fault in self.faults]
        rows += [
            {
                'job': job.id,
                'at': job.at,
                'cancel_after': job.cancel_after,
                'estimated_ms': job.estimated_ms,
                'spec': encode_payload(job.steps),
            }
            for job in self.jobs
        ]
        return '\n'.join(orjson.dumps(row).decode() for row in [head, *rows])


def make_plan(seed: int, size: Size) -> Plan:
    """Draws a plan; the same seed and size give the same plan."""
    rng = random.Random(seed)
    jobs = _make_times(rng, size, JOBS_PER_SECOND, 0.0)
    faults = _make_times(rng, size, size.faults_per_second, CALM_SECONDS)
    return Plan(
        seed,
        size,
        tuple(_make_job(rng, at, size) for at in jobs),
        tuple(_make_fault(rng, at, size) for at in faults),
    )


def _make_times(
    rng: random.Random, size: Size, rate: float, start: float
) -> list[float]:
    count = int(rate * max(0.0, size.seconds - start))
    times = [rng.uniform(start, size.seconds) for _ in range(count)]
    return sorted(round(time, 3) for time in times)


def _make_job(rng: random.Random, at: float, size: Size) -> Job:
    estimated_ms = rng.choice(ESTIMATES_MS)
    if rng.random() < 0.03:
        steps: tuple[tuple[Work, ...], ...] = (
            (Work(WorkKind.LASTING, math.inf),),
        )
        cancel_after = rng.uniform(2.0, 8.0)
    else:
        count = rng.choice((1, 2, 2, 3))
        steps = tuple(_make_step(rng) for _ in range(count))
        if rng.random() < 0.07:
            kind = rng.choice(sorted(CRASHING, key=lambda kind: kind.value))
            steps = _replace_task(steps, Work(kind, 1.0))
        elif rng.random() < 0.1 and estimated_ms <= MAX_HANGING_ESTIMATE_MS:
            steps = _replace_task(steps, Work(WorkKind.HANGING_ONCE, 1.0))
        is_cancelled = rng.random() < 0.1
        cancel_after = rng.uniform(0.0, 3.0) if is_cancelled else 0.0
    return Job(
        at,
        f'{rng.getrandbits(64):016x}',
        rng.randrange(size.daemons),
        steps,
        rng.random() < 0.1,
        round(cancel_after, 3),
        estimated_ms,
    )


def _make_step(rng: random.Random) -> tuple[Work, ...]:
    return tuple(
        Work(
            WorkKind.FAILED_ONCE if rng.random() < 0.02 else WorkKind.DONE,
            round(rng.uniform(*_choose_bounds(rng)), 3),
        )
        for _ in range(rng.randint(*TASKS_PER_STEP))
    )


def _choose_bounds(rng: random.Random) -> tuple[float, float]:
    is_long = rng.random() < LONG_TASKS_SHARE
    return LONG_TASK_SECONDS if is_long else TASK_SECONDS


def _replace_task(
    steps: tuple[tuple[Work, ...], ...], work: Work
) -> tuple[tuple[Work, ...], ...]:
    """Returns the steps with other work for the first task of the last one."""
    *first, last = steps
    return (*first, (work, *last[1:]))


_Pick = Callable[[random.Random, Size], str]


def make_link_name(host: str, position: str) -> str:
    """Returns the name of the link from a host to a position of workers."""
    return f'{host}/{position}'


def _pick_zone(rng: random.Random, size: Size) -> str:
    return rng.choice(ZONES)


def _pick_worker(rng: random.Random, size: Size) -> str:
    return f'worker-{rng.randrange(size.workers)}'


def _pick_host(rng: random.Random, size: Size) -> str:
    return f'host-{rng.randrange(size.daemons)}'


def _pick_worker_link(rng: random.Random, size: Size) -> str:
    """Returns a position, for the links from all hosts, or one link to it."""
    position = _pick_worker(rng, size)
    if rng.random() < 0.7:
        return position
    return make_link_name(_pick_host(rng, size), position)


def _pick_store_link(rng: random.Random, size: Size) -> str:
    return f'store-{rng.randrange(size.daemons)}'


@attrs.frozen
class _Recipe:
    """How faults of some kinds are drawn.

    Attributes:
      weight: Their share among all faults.
      kinds: The kinds.
      pick: Draws the target.
      paths: Paths of calls.
      max_count: Largest number of calls.
      seconds: Bounds of the time in seconds, whose logarithm is drawn.
      statuses: Statuses of an unhealthy worker.
      unhealthy_seconds: Bounds of the time in seconds for which it is so.
      new_ids: Whether a killed worker comes back under another id.
      cores: Cores of a worker that is resized.
    """

    weight: float
    kinds: tuple[FaultKind, ...]
    pick: _Pick
    paths: tuple[str, ...] = ('',)
    max_count: int = 1
    seconds: tuple[float, float] = (1.0, 1.0)
    statuses: tuple[int, ...] = (0,)
    unhealthy_seconds: tuple[float, float] = (0.05, 0.3)
    new_ids: tuple[bool, ...] = (False,)
    cores: tuple[float, ...] = (0.0,)

    def draw(self, rng: random.Random, at: float, size: Size) -> Fault:
        """Draws a fault."""
        return Fault(
            at,
            rng.choice(self.kinds),
            self.pick(rng, size),
            rng.choice(self.paths),
            rng.randint(1, self.max_count),
            _draw_seconds(rng, self.seconds),
            rng.choice(self.statuses),
            _draw_seconds(rng, self.unhealthy_seconds),
            rng.choice(self.new_ids),
            rng.choice(self.cores),
        )


def _draw_seconds(rng: random.Random, bounds: tuple[float, float]) -> float:
    low, high = bounds
    return round(low * math.pow(high / low, rng.random()), 3)


_WORKER_PATHS = (START_PATH, START_PATH, START_PATH, STOP_PATH, POLL_PATH)
_DELAYS = (FaultKind.DELAY_CALL, FaultKind.DELAY_ANSWER)
_CUTS = (FaultKind.CUT_CALLS, FaultKind.CUT_ANSWERS)
_ENDS = (FaultKind.KILL, FaultKind.STOP)
_REJECTIONS = (429, 503, 409)

_RECIPES = (
    _Recipe(8.0, (FaultKind.RESET,), _pick_worker_link, _WORKER_PATHS, 3),
    _Recipe(
        8.0,
        (FaultKind.RESET,),
        _pick_worker_link,
        (START_PATH,),
        statuses=_REJECTIONS,
    ),
    _Recipe(3.0, (FaultKind.RESET,), _pick_store_link, (WRITE_PATH,), 2),
    _Recipe(5.0, _DELAYS, _pick_worker_link, _WORKER_PATHS, 3, (0.01, 2.0)),
    _Recipe(2.0, _DELAYS, _pick_store_link, (WRITE_PATH,), 2, (0.01, 2.0)),
    _Recipe(4.0, (FaultKind.LOSE_ANSWER,), _pick_worker_link, _WORKER_PATHS, 2),
    _Recipe(1.0, (FaultKind.LOSE_ANSWER,), _pick_store_link, (WRITE_PATH,)),
    _Recipe(1.0, (FaultKind.SILENCE,), _pick_worker_link, seconds=(0.3, 3.0)),
    _Recipe(0.5, (FaultKind.SILENCE,), _pick_store_link, seconds=(0.3, 3.0)),
    _Recipe(1.5, _CUTS, _pick_worker_link, seconds=(1.0, 8.0)),
    _Recipe(
        2.0,
        (FaultKind.UNHEALTHY,),
        _pick_worker_link,
        statuses=_REJECTIONS,
        unhealthy_seconds=(0.05, 0.5),
    ),
    _Recipe(1.0, (FaultKind.BURST,), _pick_worker_link),
    _Recipe(0.5, (FaultKind.BURST,), _pick_store_link),
    _Recipe(1.5, (FaultKind.PAUSE,), _pick_worker, seconds=(0.3, 4.0)),
    _Recipe(
        2.0,
        (FaultKind.KILL,),
        _pick_worker,
        seconds=(0.2, 5.0),
        new_ids=(False, False, True),
    ),
    _Recipe(2.0, (FaultKind.PAUSE,), _pick_host, seconds=(0.3, 4.0)),
    _Recipe(2.0, _ENDS, _pick_host, seconds=(0.2, 2.0)),
    _Recipe(
        3.0,
        (FaultKind.RESIZE,),
        _pick_worker,
        seconds=(2.0, 10.0),
        cores=(0.5, 1.5, 3.5, 6.5),
    ),
    _Recipe(1.0, (FaultKind.CORDON,), _pick_zone, seconds=(3.0, 12.0)),
)


def _make_fault(rng: random.Random, at: float, size: Size) -> Fault:
    weights = [recipe.weight for recipe in _RECIPES]
    return rng.choices(_RECIPES, weights)[0].draw(rng, at, size)
