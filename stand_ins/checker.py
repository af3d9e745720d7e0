"""Checks what happened against the invariants of the scheduler.

The input is the workers' records of runs, kept on one clock outside the
system, and the write history of the table. The checks do not depend on how
the daemons work.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable
from typing import Any

import attrs

from lentilmount.resources import Room
from stand_ins.attempts import Run

NO_CONCURRENT_RUNS = 'no task runs in two places at once'
NO_REPEATED_ATTEMPT = 'an attempt runs at most once'
COMPLETED_ONCE = 'every job completes exactly once'
NO_LOST_JOB = 'no accepted job is lost'
NO_FALSE_COMPLETION = 'what is committed as completed did finish'
NO_OVERCOMMIT = 'no host is committed beyond what it has'
NO_STALE_WRITE = 'only the holder of a slice writes its rows'

_SLICE_PARTITIONS = ('task/', 'worker/', 'done/', 'change/')


@attrs.frozen
class Violation:
    """One violation of an invariant.

    Attributes:
      invariant: The invariant, one of the texts of this module.
      detail: What happened.
    """

    invariant: str
    detail: str


def find_overlaps(runs: Iterable[Run], now: float) -> list[Violation]:
    """Finds tasks with two runs that overlap in time."""
    by_task: dict[str, list[Run]] = collections.defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    violations = []
    for task, task_runs in by_task.items():
        task_runs.sort(key=lambda run: run.began)
        for earlier, later in zip(task_runs, task_runs[1:], strict=False):
            if (earlier.ended or now) > later.began:
                violations.append(
                    Violation(
                        NO_CONCURRENT_RUNS,
                        f'{task}: {earlier} and {later}',
                    )
                )
    return violations


def find_overcommits(history: Iterable[dict[str, Any]]) -> list[Violation]:
    """Finds workers whose commitments exceeded their capacity."""
    violations = []
    for write in history:
        body = write['body']
        if not write['partition'].startswith('worker/') or body is None:
            continue
        for resource in ('cores', 'memory_mb', 'accelerators'):
            held = sum(d[resource] for d in body['commitments'].values())
            if held > body['capacity'][resource] + 1e-6:
                violations.append(
                    Violation(
                        NO_OVERCOMMIT,
                        f'{write["sort"]}: {held} {resource}',
                    )
                )
    return violations


def count_completions(
    history: Iterable[dict[str, Any]],
) -> collections.Counter[str]:
    """Counts how often each job was committed as completed."""
    return collections.Counter(
        write['sort']
        for write in history
        if write['partition'].startswith('done/')
        and write['body'] is not None
        and write['body']['task']['phase'] == 'completed'
    )


def find_wrong_completions(
    history: Iterable[dict[str, Any]], jobs: Iterable[str]
) -> list[Violation]:
    """Finds jobs that completed more or less than once."""
    counts = count_completions(history)
    return [
        Violation(
            COMPLETED_ONCE,
            f'{job} completed {counts[job]} times',
        )
        for job in jobs
        if counts[job] != 1
    ]


def find_repeated_requests(
    served: Iterable[dict[str, int]], non_idempotent: Iterable[str]
) -> list[Violation]:
    """Finds non-idempotent requests that ran more than once."""
    total: collections.Counter[str] = collections.Counter()
    for counts in served:
        total.update(counts)
    return [
        Violation(
            'a non-idempotent request runs at most once',
            f'{request} ran {total[request]} times',
        )
        for request in non_idempotent
        if total[request] > 1
    ]


def check_history(
    runs: list[Run],
    history: list[dict[str, Any]],
    capacities: dict[str, Room],
    now: float,
) -> list[Violation]:
    """Checks the invariants that hold at any time, also while jobs run.

    Args:
      runs: Runs that the workers recorded.
      history: Write history of the table.
      capacities: Capacity of each worker, by name.
      now: Current time on the clock of the runs.

    Returns:
      All violations.
    """
    return [
        *find_overlaps(runs, now),
        *find_repeated_attempts(runs),
        *find_overcommits(history),
        *find_overloads(runs, history, capacities),
        *find_doubled_completions(history),
        *find_false_completions(runs, history),
        *find_lost_jobs(history),
        *find_stale_writes(history),
    ]


def find_repeated_attempts(runs: Iterable[Run]) -> list[Violation]:
    """Finds attempts that were started more than once."""
    counts = collections.Counter((run.task, run.attempt) for run in runs)
    return [
        Violation(
            NO_REPEATED_ATTEMPT, f'{task} attempt {attempt} ran {count} times'
        )
        for (task, attempt), count in counts.items()
        if count > 1
    ]


def find_doubled_completions(
    history: Iterable[dict[str, Any]],
) -> list[Violation]:
    """Finds jobs that were committed as completed more than once."""
    return [
        Violation(COMPLETED_ONCE, f'{job} completed {count} times')
        for job, count in count_completions(history).items()
        if count > 1
    ]


def find_false_completions(
    runs: Iterable[Run], history: Iterable[dict[str, Any]]
) -> list[Violation]:
    """Finds completions committed before their attempt had finished."""
    finished = {
        (run.task, run.attempt): run.ended
        for run in runs
        if run.state == 'finished'
    }
    violations = []
    for write in history:
        body = write['body']
        if not write['partition'].startswith('done/') or body is None:
            continue
        task = body['task']
        attempt = (task['id'], task['attempt'])
        ended = finished.get(attempt, math.inf)
        if task['phase'] == 'completed' and ended > write['at']:
            violations.append(
                Violation(NO_FALSE_COMPLETION, f'{attempt} did not finish')
            )
    return violations


def find_lost_jobs(history: Iterable[dict[str, Any]]) -> list[Violation]:
    """Finds accepted jobs that have no row left and never ended."""
    accepted: set[str] = set()
    ended: set[str] = set()
    rows: dict[str, str] = {}
    for write in history:
        kind = write['partition'].partition('/')[0]
        if kind not in ('inbox', 'task', 'done', 'aside'):
            continue
        row = f'{write["partition"]}:{write["sort"]}'
        task = _find_task(kind, write)
        if kind == 'inbox' and task:
            accepted.add(task)
        rows.pop(row, None)
        if write['body'] is not None and task:
            rows[row] = task
        if kind == 'done':
            # The rows of an ended job may be deleted.
            ended.add(task)
    return [
        Violation(NO_LOST_JOB, f'{task} is nowhere')
        for task in sorted(accepted - ended - set(rows.values()))
    ]


def _find_task(kind: str, write: dict[str, Any]) -> str:
    body = write['body']
    if kind in ('task', 'done'):
        return str(write['sort'])
    if body is None:
        return ''
    body = body.get('row', body)
    request = body.get('request') if isinstance(body, dict) else None
    if not isinstance(request, dict) or request.get('wish') != 'submit':
        return ''
    return str(request.get('task_id', ''))


def find_overloads(
    runs: Iterable[Run],
    history: Iterable[dict[str, Any]],
    capacities: dict[str, Room],
) -> list[Violation]:
    """Finds workers whose concurrent runs exceeded their cores."""
    demands = {
        write['sort']: write['body']['demand']['cores']
        for write in history
        if write['partition'].startswith('task/')
        and 'demand' in (write['body'] or {})
    }
    core_changes: dict[str, list[tuple[float, float, str]]] = (
        collections.defaultdict(list)
    )
    for run in runs:
        cores = demands.get(run.task, 0.0)
        core_changes[run.worker].append((run.began, cores, run.task))
        if run.ended:
            core_changes[run.worker].append((run.ended, -cores, run.task))
    violations = []
    for worker, worker_changes in core_changes.items():
        held = 0.0
        for _, cores, task in sorted(worker_changes):
            held += cores
            if held > capacities[worker].cores + 1e-6:
                violations.append(
                    Violation(
                        NO_OVERCOMMIT, f'{worker}: {held} cores with {task}'
                    )
                )
    return violations


def find_stale_writes(history: Iterable[dict[str, Any]]) -> list[Violation]:
    """Finds writes to a slice's rows that its current holder did not make.

    Each transaction on a slice writes the slice's row first, with the epoch
    of its holder. An epoch below the highest so far is a former holder's.
    """
    highest: dict[str, int] = {}
    current: dict[str, tuple[str, int]] = {}
    violations = []
    for write in history:
        partition, body = write['partition'], write['body']
        if partition == 'slice' and body is not None:
            name, epoch = write['sort'], body['epoch']
            if epoch < highest.get(name, 0):
                violations.append(
                    Violation(
                        NO_STALE_WRITE, f'{name}: epoch went back to {epoch}'
                    )
                )
            highest[name] = max(epoch, highest.get(name, 0))
            current[name] = (write['token'], epoch)
        # Operators and the retention delete ended jobs, not the holder.
        deleted = partition.startswith('done/') and body is None
        if deleted or not partition.startswith(_SLICE_PARTITIONS):
            continue
        name = partition.partition('/')[2]
        token, epoch = current.get(name, ('', 0))
        if name in highest and (
            token != write['token'] or epoch < highest[name]
        ):
            violations.append(
                Violation(
                    NO_STALE_WRITE,
                    f'{partition}:{write["sort"]} by epoch {epoch}',
                )
            )
    return violations
