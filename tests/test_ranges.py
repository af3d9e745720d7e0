"""Sets of integers that are mostly consecutive."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilmount.scheduling.ranges import Ranges

NUMBERS = st.lists(st.integers(0, 30), max_size=40)


def make_ranges(numbers: list[int]) -> Ranges:
    ranges = Ranges()
    for number in numbers:
        ranges.add(number)
    return ranges


@settings(derandomize=True)
@given(NUMBERS)
def test_ranges_hold_what_was_added(numbers: list[int]) -> None:
    ranges = make_ranges(numbers)
    assert list(ranges) == sorted(set(numbers))
    assert ranges.count == len(set(numbers))
    assert [n for n in range(32) if n in ranges] == sorted(set(numbers))


@settings(derandomize=True)
@given(NUMBERS)
def test_ranges_are_decoded_as_encoded(numbers: list[int]) -> None:
    ranges = make_ranges(numbers)
    assert Ranges.decode(ranges.encode()) == ranges


@settings(derandomize=True)
@given(NUMBERS, st.integers(0, 31))
def test_the_next_missing_number_is_found(
    numbers: list[int], start: int
) -> None:
    ranges = make_ranges(numbers)
    missing = (n for n in range(start, 33) if n not in set(numbers))
    assert ranges.find_missing(start) == next(missing)


def test_consecutive_numbers_take_one_range() -> None:
    assert make_ranges([3, 1, 2, 7]).encode() == [1, 3, 7, 7]


@pytest.mark.parametrize('flat', [[1], [2, 1], [1, 2, 3, 4], [5, 6, 1, 2]])
def test_malformed_ranges_are_rejected(flat: list[int]) -> None:
    with pytest.raises(ValueError, match=r'ascending|shorter'):
        Ranges.decode(flat)
