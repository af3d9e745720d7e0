"""What operators ask of a slice: rows that its owner answers.

Whoever accepts a command writes a row here; the owner deletes it in the same
transaction that carries the command out, so each is carried out once.
"""

from __future__ import annotations

import enum

import attrs

from lentilmount.batch.records import Task, make_inbox_partition
from lentilmount.codec import unstructure
from lentilmount.coordination.table import Key, Put


class Wish(enum.Enum):
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

    wish: Wish
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
    return Put(key, unstructure(request))
