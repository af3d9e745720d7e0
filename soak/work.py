"""What tasks do: the payloads of the jobs that the soak submits."""

from __future__ import annotations

import enum
import math

import attrs
import orjson

MAX_ATTEMPTS = 3
"""Failed runs after which a task, and its job, has failed."""


HANG_AT_SECONDS = 0.2
"""Time in seconds after which a run that hangs makes no more progress."""


class WorkKind(enum.Enum):
    """Ways in which a task behaves.

    A task that crashes its worker does so before or after its start is
    answered. One that hangs uses the processor without progress in its first
    run.
    """

    DONE = 'done'
    FAILED_ONCE = 'failed-once'
    LASTING = 'lasting'
    HANGING_ONCE = 'hanging-once'
    CRASH_UNANSWERED = 'crash-unanswered'
    CRASH_ANSWERED = 'crash-answered'


CRASHING = {WorkKind.CRASH_UNANSWERED, WorkKind.CRASH_ANSWERED}


@attrs.frozen
class Work:
    """What a task does.

    Attributes:
      kind: How it behaves.
      seconds: Duration of a run in seconds.
    """

    kind: WorkKind
    seconds: float

    def choose_end(self, run: int) -> str:
        """Returns how a run ends; '' if it does not end by itself."""
        if self.kind is WorkKind.LASTING or self.is_hanging(run):
            return ''
        is_failed = self.kind is WorkKind.FAILED_ONCE and run == 1
        return 'failed' if is_failed else 'done'

    def is_hanging(self, run: int) -> bool:
        """Returns whether a run hangs."""
        return self.kind is WorkKind.HANGING_ONCE and run == 1

    def measure_progress(self, run: int, seconds: float) -> int:
        """Returns the progress of a run in percent after some seconds."""
        if self.kind is WorkKind.LASTING:
            return 100
        if self.is_hanging(run):
            seconds = min(seconds, HANG_AT_SECONDS)
        return min(99, int(100 * seconds / self.seconds))


def encode_payload(steps: tuple[tuple[Work, ...], ...]) -> str:
    """Returns the payload of a job, given the work of each step's tasks."""
    rows = [
        [[w.kind.value, 0 if math.isinf(w.seconds) else w.seconds] for w in s]
        for s in steps
    ]
    return orjson.dumps(rows).decode()


def read_work(payload: str, task: str) -> Work:
    """Returns what a task does, given its name and its job's payload."""
    _, _, step, index = task.split('.')
    kind, seconds = orjson.loads(payload)[int(step)][int(index)]
    return Work(WorkKind(kind), seconds)
