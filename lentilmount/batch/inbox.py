"""Inbox of a slice: rows with requests for its owner.

The daemon that accepts a command writes a row; the owner deletes it in the
transaction that executes the command, so each command is executed once.
"""

from __future__ import annotations

import enum

import attrs

from lentilmount.batch.records import Task, make_inbox_partition
from lentilmount.codec import structure, unstructure
from lentilmount.coordination.table import Key, Put, Row
from lentilmount.errors import InvalidError

FORMAT = 1
"""Row format; incremented when older owners could not execute requests."""

URGENT_ORDER = '0'
"""Prefix of the sort keys of urgent requests, which are answered first."""


class RequestKind(enum.Enum):
    """Kinds of requests."""

    SUBMIT = 'submit'
    CANCEL = 'cancel'


@attrs.frozen
class Request:
    """A request in an inbox row.

    Attributes:
      wish: Kind of request.
      task_id: Id of the task.
      task: The accepted task, for a submit; else None.
    """

    wish: RequestKind
    task_id: str
    task: Task | None = None


def make_request_put(slice_name: str, order: str, request: Request) -> Put:
    """Returns the write that adds a request to an inbox.

    Args:
      slice_name: Name of the slice.
      order: Unique sort key; requests are answered in this order.
      request: The request.
    """
    key = Key(make_inbox_partition(slice_name), order)
    return Put(key, {'format': FORMAT, 'request': unstructure(request)})


def is_newer(row: Row) -> bool:
    """Returns whether a row has a newer format, so that it must be left."""
    newer = row.body.get('format', FORMAT)
    return isinstance(newer, int) and newer > FORMAT


def is_urgent(row: Row) -> bool:
    """Returns whether a request is exempt from the rate limit on writes."""
    return row.key.sort.startswith(URGENT_ORDER)


def read_request(row: Row) -> Request:
    """Returns the request in an inbox row.

    Raises:
      InvalidError: The row is damaged.
    """
    request = structure(row.body.get('request'), Request)
    if request.wish is RequestKind.SUBMIT and request.task is None:
        raise InvalidError(
            'request.task is missing; a submit request needs one'
        )
    return request
