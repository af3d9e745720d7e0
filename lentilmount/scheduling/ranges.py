"""Sets of integers that are mostly consecutive."""

from __future__ import annotations

import bisect
from collections.abc import Iterable, Iterator

import attrs


@attrs.define
class Ranges:
    """A set of integers, kept as its ranges in ascending order.

    Attributes:
      count: Number of integers in the set.
    """

    count: int = 0
    _firsts: list[int] = attrs.Factory(list)
    _lasts: list[int] = attrs.Factory(list)

    @classmethod
    def decode(cls, flat: Iterable[int]) -> Ranges:
        """Returns the set of a flat list of ranges: first, last, first, last.

        Raises:
          ValueError: The ranges are not in ascending order, or incomplete.
        """
        ranges = cls()
        numbers = iter(flat)
        for first, last in zip(numbers, numbers, strict=True):
            lowest = ranges._lasts[-1] + 2 if ranges._lasts else first
            if not lowest <= first <= last:
                raise ValueError(f'not in ascending order: {first} to {last}')
            ranges._firsts.append(first)
            ranges._lasts.append(last)
            ranges.count += last - first + 1
        return ranges

    def encode(self) -> list[int]:
        """Returns the flat list of the ranges; see `decode`."""
        pairs = zip(self._firsts, self._lasts, strict=True)
        return [number for pair in pairs for number in pair]

    def __contains__(self, number: int) -> bool:
        """Returns whether the set has an integer."""
        position = bisect.bisect_right(self._firsts, number) - 1
        return position >= 0 and number <= self._lasts[position]

    def __iter__(self) -> Iterator[int]:
        """Yields the integers in ascending order."""
        for first, last in zip(self._firsts, self._lasts, strict=True):
            yield from range(first, last + 1)

    def add(self, number: int) -> None:
        """Adds an integer, joining the ranges next to it."""
        if number in self:
            return
        self.count += 1
        after = bisect.bisect_right(self._firsts, number)
        joins_before = after > 0 and self._lasts[after - 1] == number - 1
        joins_after = (
            after < len(self._firsts) and self._firsts[after] == number + 1
        )
        if joins_before and joins_after:
            del self._firsts[after]
            del self._lasts[after - 1]
        elif joins_before:
            self._lasts[after - 1] = number
        elif joins_after:
            self._firsts[after] = number
        else:
            self._firsts.insert(after, number)
            self._lasts.insert(after, number)

    def find_missing(self, start: int) -> int:
        """Returns the lowest integer from `start` on that is not in the set."""
        position = bisect.bisect_right(self._firsts, start) - 1
        if position >= 0 and start <= self._lasts[position]:
            return self._lasts[position] + 1
        return start
