"""Tests of which services keep batch jobs off a worker."""

import attrs

from lentilmount.batch.interference_control import InterferenceController
from lentilmount.batch.learning import SizeLearner
from lentilmount.batch.occupancy import Occupancy
from lentilmount.batch.overruns import OverrunDetector
from lentilmount.batch.records import Task, WorkerRecord
from lentilmount.resources import Demand, Phase, Room
from lentilmount.upstream.workers import Command, Usage

SERVICE = Task(
    'Service/desk/checks/0',
    Demand(1, 1024),
    phase=Phase.RUNNING,
    attempt=1,
    worker='w',
)
RECORD = WorkerRecord('w', '127.0.0.1:1', 'a', 'r', 'b', Room(64, 65536))
MANY = 30


@attrs.define
class FakeLink:
    """A session with usage reports set by the test."""

    name: str = 'w'
    reachable: bool = True
    usage: tuple[Usage, ...] = ()
    sent: list[Command] = attrs.Factory(list)

    def send(self, command: Command) -> None:
        self.sent.append(command)

    def wake(self) -> None:
        return


def make_job(number: int) -> Task:
    return attrs.evolve(
        SERVICE, id=f'Job/billing/run-{number}/0', job_class=f'c{number}'
    )


def count_admitted(p99_ms: float, load: float) -> int:
    """Returns the number of jobs of unknown classes that a worker accepts."""
    occupancy = Occupancy()
    sizes = SizeLearner()
    steering = InterferenceController(
        occupancy, sizes, OverrunDetector(), try_spend=lambda: False
    )
    occupancy.update(SERVICE, 0.0)
    usage = Usage(SERVICE.id, 1, age=1.0, p99_ms=p99_ms, load=load)
    steering.process_usage(FakeLink(usage=(usage,)), 100.0)
    for number in range(MANY):
        job = make_job(number)
        if steering.make_cost(job, 100.0)(RECORD) == float('inf'):
            return number
        occupancy.update(job, 100.0)
        steering.invalidate('w')
    return MANY


def test_an_idle_service_does_not_keep_batch_jobs_away() -> None:
    """The margin for unknown pairs kept jobs off an idle worker."""
    assert count_admitted(p99_ms=0.0, load=0.0) == MANY


def test_a_busy_service_limits_jobs_of_unknown_classes() -> None:
    assert 0 < count_admitted(p99_ms=10.0, load=0.6) < MANY
