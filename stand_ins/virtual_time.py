"""An event loop whose time jumps to the next timer instead of passing.

The real code runs on it unchanged, with its own sleeps and timeouts; ten
minutes take as long as what happens in them, and each run is the same.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from lentilmount.clock import ManualClock

T = TypeVar('T')


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, clock: ManualClock):
        super().__init__()
        self._clock = clock

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Moves the clock on by what it was told to wait."""
        if timeout is None:
            raise RuntimeError('nothing will ever happen again')
        if timeout > 0:
            self._clock.advance(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on a manual clock; it does no input or output."""

    def __init__(self, clock: ManualClock):
        super().__init__(_JumpingSelector(clock))
        self._virtual = clock

    def time(self) -> float:
        """Returns the time of the manual clock."""
        return self._virtual.now


def run_virtual(work: Coroutine[Any, Any, T], clock: ManualClock) -> T:
    """Runs a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=lambda: VirtualLoop(clock)) as runner:
        return runner.run(work)
