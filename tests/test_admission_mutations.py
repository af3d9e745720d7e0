"""Inverts or removes one decision of admission; the tests must detect it."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import pytest

from lentilmount.control.retry_schedule import RetrySchedule
from lentilmount.control.submissions import Submissions
from lentilmount.errors import LentilmountError
from lentilmount.scheduling import admission, waiting_times
from lentilmount.scheduling.admission import AdmissionGate, Refusal, WorkKind
from lentilmount.scheduling.model import Job
from lentilmount.scheduling.specs import JobSpec
from lentilmount.scheduling.waiting_times import (
    RunTimeRatio,
    WaitingTimes,
    divide,
)
from tests import test_admission as loads
from tests import test_admission_of_submissions as submissions
from tests import test_retry_schedule as returns

Patch = pytest.MonkeyPatch
Test = Callable[[], None]

_JUDGE = AdmissionGate.judge


def _refuse_what_fits(patch: Patch) -> None:
    def judge(
        gate: AdmissionGate, spec: JobSpec, path: float, now: float
    ) -> Refusal | None:
        if _JUDGE(gate, spec, path, now) is not None:
            return None
        return Refusal(0.0, 0.0, 0.0, 1.0)

    patch.setattr(AdmissionGate, 'judge', judge)


def _accept_everything(patch: Patch) -> None:
    patch.setattr(AdmissionGate, 'judge', lambda *arguments: None)


def _trust_estimates_of_any_age(patch: Patch) -> None:
    def judge(
        gate: AdmissionGate, spec: JobSpec, path: float, now: float
    ) -> Refusal | None:
        gate._since = now  # noqa: SLF001
        return _JUDGE(gate, spec, path, now)

    patch.setattr(AdmissionGate, 'judge', judge)


def _ignore_weights(patch: Patch) -> None:
    def divide_evenly(
        work: Mapping[str, float], weights: Mapping[str, float], rate: float
    ) -> dict[str, float]:
        return divide(work, {}, rate)

    patch.setattr(waiting_times, 'divide', divide_evenly)


def _share_one_wait(patch: Patch) -> None:
    def add_up(
        work: Mapping[str, float], weights: Mapping[str, float], rate: float
    ) -> dict[str, float]:
        return dict.fromkeys(work, sum(work.values()) / rate)

    patch.setattr(waiting_times, 'divide', add_up)


def _ignore_other_daemons(patch: Patch) -> None:
    def estimate(gate: AdmissionGate, *arguments: Any) -> Refusal | None:
        gate.count_daemons = lambda: 1
        return _ESTIMATE_WAIT(gate, *arguments)

    patch.setattr(AdmissionGate, '_estimate_wait', estimate)


_ESTIMATE_WAIT = AdmissionGate._estimate_wait  # noqa: SLF001


def _count_nothing(patch: Patch) -> None:
    patch.setattr(AdmissionGate, 'count_accepted', lambda *arguments: None)


def _resume_at_the_limit(patch: Patch) -> None:
    patch.setattr(admission, 'RESUME_SHARE', 1.0)


def _refuse_for_any_wait(patch: Patch) -> None:
    patch.setattr(admission, 'MIN_WAIT_SECONDS', 0.0)


def _believe_declared_times(patch: Patch) -> None:
    patch.setattr(RunTimeRatio, 'value', 1.0)


def _count_late_work(patch: Patch) -> None:
    patch.setattr(
        WaitingTimes,
        '_list_useful_occurrences',
        lambda self, job, now: {occurrence for occurrence, _ in job.remaining},
    )


def _ignore_later_steps(patch: Patch) -> None:
    def add_first_steps(self: WaitingTimes, job: Job, *arguments: Any) -> None:
        first = {
            (occurrence, step): count
            for (occurrence, step), count in job.remaining.items()
            if not job.spec.steps[step].after
        }
        _ADD_JOB(self, attrs.evolve(job, remaining=first), *arguments)

    patch.setattr(WaitingTimes, '_add_job', add_first_steps)


_ADD_JOB = WaitingTimes._add_job  # noqa: SLF001


def _take_new_work_for_waiting(patch: Patch) -> None:
    patch.setattr(
        WaitingTimes,
        '_is_waiting',
        lambda self, kind, sums: bool(sums.ready[kind]),
    )


def _publish_at_once(patch: Patch) -> None:
    patch.setattr(waiting_times, 'WARM_UP_SECONDS', 0.0)


def _ignore_free_room(patch: Patch) -> None:
    patch.setattr(
        waiting_times, '_measure_usable_cores', lambda free, size: 0.0
    )


def _take_gaps_for_room(patch: Patch) -> None:
    patch.setattr(waiting_times, 'USABLE_SECONDS', math.inf)


def _judge_urgent_by_gaps(patch: Patch) -> None:
    def update(
        self: WaitingTimes, kind: WorkKind, is_waiting: bool, elapsed: float
    ) -> None:
        self._usable[kind] = 0.1 if is_waiting else 1.0  # noqa: SLF001

    patch.setattr(WaitingTimes, '_update_usable', update)


def _refuse_known_jobs(patch: Patch) -> None:
    async def deny(self: Submissions, spec: JobSpec) -> bool:
        return False

    patch.setattr(Submissions, '_may_be_accepted', deny)


def _return_together(patch: Patch) -> None:
    patch.setattr(RetrySchedule, 'add', lambda *arguments, **options: 1.0)


MUTANTS: list[tuple[Callable[[Patch], None], Test]] = [
    (_refuse_what_fits, loads.test_no_job_is_refused_while_room_is_free),
    (_accept_everything, loads.test_a_burst_of_one_queue_beside_urgent_work),
    (
        _trust_estimates_of_any_age,
        loads.test_an_estimate_that_is_too_old_refuses_nothing,
    ),
    (
        _trust_estimates_of_any_age,
        submissions.test_no_submission_is_refused_by_an_old_estimate,
    ),
    (_ignore_weights, loads.test_all_queues_at_once_share_by_weight),
    (_share_one_wait, loads.test_a_small_queue_does_not_pay_for_a_large_one),
    (
        _ignore_other_daemons,
        loads.test_a_burst_of_twenty_times_the_usual_at_all_daemons,
    ),
    (
        _count_nothing,
        loads.test_what_was_accepted_counts_until_an_estimate_holds_it,
    ),
    (
        _resume_at_the_limit,
        loads.test_decisions_do_not_change_with_each_estimate,
    ),
    (_refuse_for_any_wait, loads.test_a_short_wait_is_no_reason_to_refuse),
    (_believe_declared_times, loads.test_run_times_are_learned),
    (_believe_declared_times, loads.test_runs_without_result_count_as_work),
    (
        _count_late_work,
        loads.test_work_that_is_of_no_use_any_more_does_not_count,
    ),
    (_ignore_later_steps, loads.test_later_steps_of_accepted_jobs_count),
    (
        _take_new_work_for_waiting,
        loads.test_work_that_arrived_just_now_does_not_wait,
    ),
    (_publish_at_once, loads.test_a_new_owner_publishes_nothing_at_first),
    (
        _ignore_free_room,
        loads.test_free_room_counts_although_no_task_has_ended,
    ),
    (_take_gaps_for_room, loads.test_room_that_tasks_cannot_use_is_learned),
    (
        _judge_urgent_by_gaps,
        loads.test_urgent_work_is_not_refused_while_its_room_is_free,
    ),
    (
        _refuse_known_jobs,
        submissions.test_a_submission_sent_again_after_a_lost_answer_is_not_refused,
    ),
    (
        _refuse_known_jobs,
        submissions.test_a_submission_whose_first_copy_may_be_written_is_not_refused,
    ),
    (
        _refuse_known_jobs,
        submissions.test_no_submission_is_refused_while_writes_take_long,
    ),
    (
        _return_together,
        returns.test_callers_refused_together_do_not_come_back_together,
    ),
    (
        _return_together,
        submissions.test_callers_refused_in_an_outage_come_back_spread,
    ),
]


@pytest.mark.parametrize(('mutate', 'test'), MUTANTS)
def test_mutants_are_detected(
    mutate: Callable[[Patch], None], test: Test, monkeypatch: Patch
) -> None:
    test()
    mutate(monkeypatch)
    with pytest.raises(
        (AssertionError, pytest.fail.Exception, LentilmountError)
    ):
        test()
