"""A bounded queue that refuses early what would wait too long."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable

import attrs

from lentilmount.errors import ErrorKind, UpstreamError
from lentilmount.routing.target import Target

MOST_WAITING = 1024
LEAST_RETRY_AFTER_SECONDS = 0.05


@attrs.define(eq=False)
class Waiter:
    """A request that waits for an upstream.

    Attributes:
      future: Gets the upstream, already counted as in use.
      is_disconnected: Tells whether the caller has left.
      timer: Refuses it when it waited for too long.
    """

    future: asyncio.Future[Target]
    is_disconnected: Callable[[], bool]
    timer: asyncio.TimerHandle | None = None


class WaitQueue:
    """Requests to one service that wait for a free upstream, in order."""

    def __init__(self, service: str):
        self._service = service
        self._waiters: collections.deque[Waiter] = collections.deque()

    def __len__(self) -> int:
        """Returns how many wait."""
        return len(self._waiters)

    def predict(self, typical: float, in_flight: int) -> float:
        """Returns the seconds that one more would wait.

        In flight requests end at a rate of `in_flight / typical` (Little's
        law), and each that ends lets one in.
        """
        return (len(self._waiters) + 1) * typical / max(1, in_flight)

    async def wait(
        self,
        predicted: float,
        patience: float,
        is_disconnected: Callable[[], bool],
    ) -> Target:
        """Waits for a target.

        Args:
          predicted: See `predict`.
          patience: Longest wait that leaves time for an answer, in seconds.
          is_disconnected: Tells whether the caller has left.

        Raises:
          UpstreamError: At once if the wait would be too long, or later if
            the prediction was wrong; the request did not run.
        """
        if predicted > patience or len(self._waiters) >= MOST_WAITING:
            raise self.make_refusal(predicted)
        loop = asyncio.get_running_loop()
        waiter = Waiter(loop.create_future(), is_disconnected)
        waiter.timer = loop.call_later(patience, self._give_up, waiter)
        self._waiters.append(waiter)
        return await waiter.future

    def make_refusal(self, wait: float) -> UpstreamError:
        """Builds the answer to a request for which there is no room."""
        return UpstreamError(
            f'every upstream of {self._service} is busy',
            kind=ErrorKind.OVERLOADED,
            retry_after=max(LEAST_RETRY_AFTER_SECONDS, wait),
        )

    def _give_up(self, waiter: Waiter) -> None:
        if not waiter.future.done():
            self._waiters.remove(waiter)
            waiter.future.set_exception(self.make_refusal(0.0))

    def grant(self, take: Callable[[], Target | None]) -> None:
        """Gives free upstreams to those who wait longest.

        Args:
          take: Takes a free upstream; None if there is none.
        """
        while self._waiters:
            if self._waiters[0].is_disconnected():
                self._dismiss(self._waiters.popleft())
                continue
            target = take()
            if target is None:
                return
            waiter = self._waiters.popleft()
            self._stop_timer(waiter)
            waiter.future.set_result(target)

    def refuse_all(self) -> None:
        """Refuses everything that waits, since no upstream is left."""
        while self._waiters:
            self._dismiss(self._waiters.popleft())

    def _dismiss(self, waiter: Waiter) -> None:
        self._stop_timer(waiter)
        waiter.future.set_exception(self.make_refusal(0.0))

    def _stop_timer(self, waiter: Waiter) -> None:
        if waiter.timer is not None:
            waiter.timer.cancel()
