"""Maps the name of each command to the function that runs it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from lentilmount.cli import changes, follow, reads, report, traces
from lentilmount.cli.session import Session
from lentilmount.status import ExitStatus

Action = Callable[[Session], Awaitable[ExitStatus]]

ACTIONS: dict[str, Action] = {
    'apply': changes.apply,
    'validate': changes.validate,
    'cancel': changes.cancel,
    'cordon': changes.cordon,
    'uncordon': changes.uncordon,
    'drain': changes.drain,
    'delete': changes.delete,
    'get': reads.get,
    'describe': reads.describe,
    'list': reads.show_list,
    'status': reads.status,
    'watch': follow.watch,
    'timeline': follow.timeline,
    'trace': traces.trace,
    'report': report.report,
    'check': traces.check,
}
