"""An event loop on virtual time, which jumps to the next timer.

The product's code runs on it unchanged, with its own sleeps and timeouts. No
real time passes in sleeps, and each run is the same.
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
        """Advances the clock by the timeout instead of waiting.

        Raises:
          RuntimeError: There is no timer, so the loop would wait for ever.
        """
        if timeout is None:
            raise RuntimeError('deadlock: no callback and no timer is pending')
        if timeout > 0:
            self._clock.advance(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on a manual clock, without input and output."""

    def __init__(self, clock: ManualClock):
        super().__init__(_JumpingSelector(clock))
        self._virtual = clock

    def time(self) -> float:
        """Returns the time of the manual clock."""
        return self._virtual.now


def run_virtual(work: Coroutine[Any, Any, T], clock: ManualClock) -> T:
    """Runs a coroutine in virtual time and returns its result."""
    with asyncio.Runner(loop_factory=lambda: VirtualLoop(clock)) as runner:
        return runner.run(work)
