"""Reading the list of workers."""

from __future__ import annotations

import pytest

from lentilmount.control.registry import choose_pause

ENTRY_BYTES = 430
"""What an entry takes in an answer, as measured."""

SLOWEST_LINK_BYTES = 625_000
"""Bytes in a second on a link of 5 Mbit/s, the slowest of any host."""

DRAIN_SECONDS = 2.0
"""For how long a leaving worker may be given work after it said so."""

ORDER_SECONDS = 0.3
"""From the choice of a worker until it has the order: the row, the call."""


@pytest.mark.parametrize('workers', [1, 34, 100])
def test_a_short_list_is_read_often(workers: int) -> None:
    assert choose_pause(workers) == 0.4


@pytest.mark.parametrize('workers', [200, 245, 300])
def test_a_long_list_leaves_the_link_to_orders(workers: int) -> None:
    """An owner of 300 workers on the smallest link reads the list all day.

    Read every 0.4 s it took half of the link; orders and the feed of jobs
    queued behind it.
    """
    spent = workers * ENTRY_BYTES / choose_pause(workers)
    assert spent < SLOWEST_LINK_BYTES / 3.5


@pytest.mark.parametrize('workers', [34, 100, 245, 1000])
def test_a_leaving_worker_is_known_in_time(workers: int) -> None:
    """A worker says that it is leaving just after it was read."""
    reading = min(workers, 300) * ENTRY_BYTES / SLOWEST_LINK_BYTES
    latest = choose_pause(workers) + 2 * reading + ORDER_SECONDS
    assert latest < DRAIN_SECONDS
