"""Holds what truly happened against what must always hold.

It reads the workers' records of runs, kept on one clock outside the system,
and the history of the table. It knows nothing of how the daemons work.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable
from typing import Any

import attrs

from lentilmount.resources import Room
from stand_ins.attempts import Run

ONE_PLACE = 'no task runs in two places at once'
ONE_RUN = 'an attempt runs at most once'
ONCE = 'every job completes exactly once'
KEPT = 'no accepted job is lost'
TRUE = 'what is committed as completed did finish'
ROOM = 'no host is committed beyond what it has'
FENCED = 'only the holder of a slice writes its rows'

_OWNED = ('task/', 'worker/', 'done/', 'change/')


@attrs.frozen
class Violation:
    """A promise that was broken."""

    promise: str
    detail: str


def find_overlaps(runs: Iterable[Run], now: float) -> list[Violation]:
    """Finds tasks that ran in two places at once."""
    by_task: dict[str, list[Run]] = collections.defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    violations = []
    for task, some in by_task.items():
        some.sort(key=lambda run: run.began)
        for earlier, later in zip(some, some[1:], strict=False):
            if (earlier.ended or now) > later.began:
                violations.append(
                    Violation(
                        ONE_PLACE,
                        f'{task}: {earlier} and {later}',
                    )
                )
    return violations


def find_overcommits(history: Iterable[dict[str, Any]]) -> list[Violation]:
    """Finds workers that were committed beyond what they have."""
    violations = []
    for write in history:
        body = write['body']
        if not write['partition'].startswith('worker/') or body is None:
            continue
        for what in ('cores', 'memory_mb', 'accelerators'):
            held = sum(d[what] for d in body['commitments'].values())
            if held > body['capacity'][what] + 1e-6:
                violations.append(
                    Violation(
                        ROOM,
                        f'{write["sort"]}: {held} {what}',
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
            ONCE,
            f'{job} completed {counts[job]} times',
        )
        for job in jobs
        if counts[job] != 1
    ]


def find_double_requests(
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
    """Checks all that must hold at any moment, also in the middle."""
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
    """Finds attempts that began more than once."""
    counts = collections.Counter((run.task, run.attempt) for run in runs)
    return [
        Violation(ONE_RUN, f'{task} attempt {attempt} ran {count} times')
        for (task, attempt), count in counts.items()
        if count > 1
    ]


def find_doubled_completions(
    history: Iterable[dict[str, Any]],
) -> list[Violation]:
    """Finds jobs that were committed as completed more than once."""
    return [
        Violation(ONCE, f'{job} completed {count} times')
        for job, count in count_completions(history).items()
        if count > 1
    ]


def find_false_completions(
    runs: Iterable[Run], history: Iterable[dict[str, Any]]
) -> list[Violation]:
    """Finds completions of attempts that had not finished by then."""
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
            violations.append(Violation(TRUE, f'{attempt} did not finish'))
    return violations


def find_lost_jobs(history: Iterable[dict[str, Any]]) -> list[Violation]:
    """Finds accepted jobs of which the table knows nothing any more."""
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
            # Once over, a job may be deleted.
            ended.add(task)
    return [
        Violation(KEPT, f'{task} is nowhere')
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
    """Finds workers on which more ran at once than they have processors."""
    demands = {
        write['sort']: write['body']['demand']['cores']
        for write in history
        if write['partition'].startswith('task/')
        and 'demand' in (write['body'] or {})
    }
    steps: dict[str, list[tuple[float, float, str]]] = collections.defaultdict(
        list
    )
    for run in runs:
        cores = demands.get(run.task, 0.0)
        steps[run.worker].append((run.began, cores, run.task))
        if run.ended:
            steps[run.worker].append((run.ended, -cores, run.task))
    violations = []
    for worker, some in steps.items():
        held = 0.0
        for _, cores, task in sorted(some):
            held += cores
            if held > capacities[worker].cores + 1e-6:
                violations.append(
                    Violation(ROOM, f'{worker}: {held} cores with {task}')
                )
    return violations


def find_stale_writes(history: Iterable[dict[str, Any]]) -> list[Violation]:
    """Finds rows of a slice that its holder at the time did not write.

    Each transaction on a slice writes the slice's row first, with the epoch
    of its holder; an epoch below the highest seen is a former holder's.
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
                    Violation(FENCED, f'{name}: epoch went back to {epoch}')
                )
            highest[name] = max(epoch, highest.get(name, 0))
            current[name] = (write['token'], epoch)
        # Ended jobs are deleted by operators and by age, not by the holder.
        deleted = partition.startswith('done/') and body is None
        if deleted or not partition.startswith(_OWNED):
            continue
        name = partition.partition('/')[2]
        token, epoch = current.get(name, ('', 0))
        if name in highest and (
            token != write['token'] or epoch < highest[name]
        ):
            violations.append(
                Violation(
                    FENCED, f'{partition}:{write["sort"]} by epoch {epoch}'
                )
            )
    return violations
