"""What operators ask of a slice: rows that its owner answers.

Whoever accepts a command writes a row here; the owner deletes it in the same
transaction that carries the command out, so each is carried out once.
"""

from __future__ import annotations

import enum

import attrs

from lentilmount.batch.records import Task, make_inbox_partition
from lentilmount.codec import structure, unstructure
from lentilmount.coordination.table import Key, Put, Row
from lentilmount.errors import InvalidError

FORMAT = 1
"""Raised when older owners could not carry a request out."""

URGENT_ORDER = '0'
"""Requests whose order begins with this are answered first."""


class RequestKind(enum.Enum):
    """What can be asked."""

    SUBMIT = 'submit'
    CANCEL = 'cancel'


@attrs.frozen
class Request:
    """One row of an inbox.

    Attributes:
      wish: What is asked.
      task_id: The task it is about.
      task: For submit: the task as accepted.
    """

    wish: RequestKind
    task_id: str
    task: Task | None = None


def make_request_put(slice_name: str, order: str, request: Request) -> Put:
    """Returns the write that puts a request into an inbox.

    Args:
      slice_name: The slice whose owner is asked.
      order: Unique; the inbox is read in this order.
      request: What is asked.
    """
    key = Key(make_inbox_partition(slice_name), order)
    return Put(key, {'format': FORMAT, 'request': unstructure(request)})


def is_newer(row: Row) -> bool:
    """Tells whether a newer version wrote a row, and has to answer it."""
    newer = row.body.get('format', FORMAT)
    return isinstance(newer, int) and newer > FORMAT


def is_urgent(row: Row) -> bool:
    """Tells whether a row goes ahead of the limit on writes."""
    return row.key.sort.startswith(URGENT_ORDER)


def read_request(row: Row) -> Request:
    """Reads a row of an inbox.

    Raises:
      InvalidError: The row is damaged.
    """
    request = structure(row.body.get('request'), Request)
    if request.wish is RequestKind.SUBMIT and request.task is None:
        raise InvalidError('request: a submit without a task')
    return request
