"""What log lines tell of single jobs: arrival, runs, refusals and end."""

from __future__ import annotations

import collections
import datetime
import math
import re
from typing import Any

import attrs

from lentilmount.cli.time_shares import (
    RunKey,
    RunSpan,
    TimeShares,
    measure_shares,
)

Line = dict[str, Any]

FAILED_RUN_ENDS = ('failed', 'lapsed', 'broken', 'alone')
"""Results of runs that ended unfinished without a stop command."""

_JOB_ID_AT_END = re.compile(r'/([0-9a-f]{16})$')


@attrs.define
class JobAccount:
    """What the log lines tell of a job.

    Attributes:
      job: Id of the job.
      queue: Its queue; '' if no line names it.
      zone: Availability zone of the daemon that accepted it; '' if no line
        names it.
      core_seconds: Declared work; None in logs of earlier versions.
      accepted_at: Unix time of acceptance in seconds; None if the logs begin
        later.
      first_start_at: Unix time of the first start; None if there was none.
      state: Final state; '' while it is open.
      took: Seconds from acceptance to the end; None while it is open.
      objective: Seconds within which it should have completed.
      stopped: Number of runs stopped by a command, by its reason.
      ended_badly: Number of runs that ended unfinished without a stop command,
        by result.
      runs: Its runs, by id of the task and number of the run.
    """

    job: str
    queue: str = ''
    zone: str = ''
    core_seconds: float | None = None
    accepted_at: float | None = None
    first_start_at: float | None = None
    state: str = ''
    took: float | None = None
    objective: float = math.inf
    stopped: collections.Counter[str] = attrs.Factory(collections.Counter)
    ended_badly: collections.Counter[str] = attrs.Factory(collections.Counter)
    runs: dict[RunKey, RunSpan] = attrs.Factory(dict)

    @property
    def is_late(self) -> bool:
        """Whether it was completed after its objective."""
        is_over = self.took is not None and self.took > self.objective
        return self.state == 'completed' and is_over

    @property
    def task_count(self) -> int:
        """Number of its tasks that were started."""
        return len({task for task, _ in self.runs})

    @property
    def first_wait(self) -> float | None:
        """Seconds from acceptance to the first start; None if unknown."""
        if self.accepted_at is None or self.first_start_at is None:
            return None
        # The clocks of two hosts may differ by more than the time to a start.
        return max(0.0, self.first_start_at - self.accepted_at)

    @property
    def lost_run_seconds(self) -> float:
        """Sum of the time of all runs that did not finish their task.

        It is 0 unless the job was completed: other jobs end with their runs.
        """
        if self.state != 'completed':
            return 0.0
        spans = (run for run in self.runs.values() if run.is_lost)
        return sum(max(0.0, run.ended_at - run.started_at) for run in spans)

    def measure_shares(self) -> TimeShares | None:
        """Returns where its time went; None if its times are not known."""
        if self.took is None or self.accepted_at is None:
            return None
        first_wait = self.took if self.first_wait is None else self.first_wait
        return measure_shares(
            self.runs, self.accepted_at, self.took, first_wait
        )


@attrs.frozen
class Refusal:
    """A request that was refused.

    Attributes:
      time: Unix time in seconds.
      kind: Kind of the error.
      method: Method of the request; '' if the line does not name it.
      job: Id of the job that it was about; '' if unknown.
      queue: Queue that it was sent to; '' if unknown.
      zone: Availability zone of the daemon; '' if unknown.
    """

    time: float
    kind: str
    method: str = ''
    job: str = ''
    queue: str = ''
    zone: str = ''

    @property
    def is_submission(self) -> bool:
        """Whether it submits a job; the others read or cancel one."""
        return bool(self.job) and self.method in ('POST', '')


class AccountReader:
    """Builds the accounts of jobs from log lines, added in order of time.

    Attributes:
      accounts: The accounts by id of the job.
      refusals: The refused requests.
    """

    def __init__(self) -> None:
        self.accounts: dict[str, JobAccount] = {}
        self.refusals: list[Refusal] = []

    def add_line(self, line: Line) -> None:
        """Updates the accounts from a log line that `is_relevant`."""
        message = str(line['message'])
        handle = _HANDLERS[_get_first_word(message)]
        handle(self, line, message)

    def _get_account(self, job: str) -> JobAccount:
        return self.accounts.setdefault(job, JobAccount(job))

    def _handle_accepted(self, line: Line, _: str) -> None:
        job, queue = line.get('job'), line.get('queue')
        if not job or not queue:
            return
        account = self._get_account(job)
        if account.accepted_at is not None:
            return
        account.queue = queue
        account.zone = line.get('zone', '')
        account.core_seconds = line.get('core_seconds')
        account.accepted_at = parse_time(line)

    def _handle_refused(self, line: Line, _: str) -> None:
        found = _JOB_ID_AT_END.search(str(line.get('path', '')))
        refusal = Refusal(
            time=parse_time(line),
            kind=str(line.get('kind', '')),
            method=str(line.get('method', '')),
            job=found[1] if found else '',
            queue=line.get('queue', ''),
            zone=line.get('zone', ''),
        )
        self.refusals.append(refusal)

    def _handle_starts(self, line: Line, _: str) -> None:
        # Daemons of earlier versions log each start in a line of its own.
        single = [line.get('task', ''), line.get('run', 1)]
        for task, run, *_ in line.get('starts') or [single]:
            self._record_start(str(task), run, parse_time(line))

    def _record_start(self, task: str, run: int, now: float) -> None:
        account = self._get_account(_get_job(task))
        if account.first_start_at is None:
            account.first_start_at = now
        account.runs.setdefault((task, run), RunSpan(now))

    def _handle_changes(self, line: Line, _: str) -> None:
        for task, run, _worker, kind, reason, _phase in line.get('changes', ()):
            if kind == 'freed':
                self._end_run(task, run, parse_time(line), reason != 'done')

    def _end_run(self, task: str, run: int, now: float, is_lost: bool) -> None:
        span = self._get_account(_get_job(task)).runs.get((task, run))
        if span is not None and span.ended_at == math.inf:
            span.ended_at = now
            span.is_lost = is_lost

    def _handle_stop(self, line: Line, message: str) -> None:
        if 'task' in line:
            account = self._get_account(_get_job(line['task']))
            account.stopped[_get_detail(message)] += 1

    def _handle_run_end(self, line: Line, message: str) -> None:
        result = _get_detail(message)
        if 'task' not in line:
            return
        if result in FAILED_RUN_ENDS:
            account = self._get_account(_get_job(line['task']))
            account.ended_badly[result] += 1
        self._end_run(
            line['task'], line.get('run', 1), parse_time(line), result != 'done'
        )

    def _handle_job_end(self, line: Line, message: str) -> None:
        job, took = line.get('job', ''), line.get('took')
        if took is None:
            return
        account = self._get_account(job)
        # The end may be logged twice: by an owner that is replaced before it
        # has written the row, and by its successor.
        if account.state:
            return
        account.state = message.rpartition(' ')[2].rstrip('.')
        account.queue = account.queue or line.get('queue', '')
        account.took = took
        objective = line.get('objective')
        account.objective = math.inf if objective is None else objective


_HANDLERS = {
    'Accepted': AccountReader._handle_accepted,
    'Refused': AccountReader._handle_refused,
    'Starting': AccountReader._handle_starts,
    'Placements': AccountReader._handle_changes,
    'Stopping': AccountReader._handle_stop,
    'Ended': AccountReader._handle_run_end,
    'Job': AccountReader._handle_job_end,
}
"""Handlers of log lines, by the first word of the message."""


def _get_first_word(message: str) -> str:
    return message.partition(' ')[0].rstrip(':.')


def _get_detail(message: str) -> str:
    return message.partition(': ')[2].rstrip('.')


def _get_job(task: Any) -> str:
    return str(task).partition('.')[0]


def parse_time(line: Line) -> float:
    """Returns the Unix time of a log line; daemons log in UTC."""
    time = datetime.datetime.fromisoformat(str(line['time']))
    if time.tzinfo is None:
        time = time.replace(tzinfo=datetime.UTC)
    return time.timestamp()


def is_relevant(line: Line) -> bool:
    """Returns whether a line tells of a job or a request, with its time."""
    if _get_first_word(str(line.get('message', ''))) not in _HANDLERS:
        return False
    try:
        parse_time(line)
    except (KeyError, ValueError):
        return False
    return True
