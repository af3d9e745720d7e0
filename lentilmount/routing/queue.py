"""A bounded queue that refuses requests early if they would wait too long."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable

import attrs

from lentilmount.errors import ErrorKind, UpstreamError
from lentilmount.routing.target import Target

MAX_WAITING = 1024
LEAST_RETRY_AFTER_SECONDS = 0.05


@attrs.define(eq=False)
class Waiter:
    """A request that waits for an upstream.

    Attributes:
      future: Receives the upstream, which already counts this request.
      is_disconnected: Returns whether the caller has closed its connection.
      timer: Refuses the request when its maximum wait is over.
    """

    future: asyncio.Future[Target]
    is_disconnected: Callable[[], bool]
    timer: asyncio.TimerHandle | None = None


class WaitQueue:
    """FIFO queue of requests to one service that wait for a free upstream."""

    def __init__(self, service: str):
        self._service = service
        self._waiters: collections.deque[Waiter] = collections.deque()

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._waiters)

    def predict_wait(self, median: float, in_flight: int) -> float:
        """Returns the expected wait of one more request, in seconds.

        Requests in flight end at a rate of `in_flight / median` (Little's
        law), and each that ends admits a waiting one.

        Args:
          median: Median response time of the service, in seconds.
          in_flight: Number of this daemon's requests at all upstreams.
        """
        return (len(self._waiters) + 1) * median / max(1, in_flight)

    async def wait(
        self,
        predicted: float,
        max_wait: float,
        is_disconnected: Callable[[], bool],
    ) -> Target:
        """Waits for an upstream.

        Args:
          predicted: Expected wait in seconds; see `predict_wait`.
          max_wait: Longest wait that leaves time for a response, in seconds.
          is_disconnected: Returns whether the caller has closed its connection.

        Raises:
          UpstreamError: At once if the expected wait is too long, or after
            `max_wait`; the request did not run.
        """
        if predicted > max_wait or len(self._waiters) >= MAX_WAITING:
            raise self.make_overload_error(predicted)
        loop = asyncio.get_running_loop()
        waiter = Waiter(loop.create_future(), is_disconnected)
        waiter.timer = loop.call_later(max_wait, self._time_out, waiter)
        self._waiters.append(waiter)
        return await waiter.future

    def make_overload_error(self, wait: float) -> UpstreamError:
        """Returns the error for a request that exceeds the capacity."""
        return UpstreamError(
            f'every upstream of {self._service} is busy',
            kind=ErrorKind.OVERLOADED,
            retry_after=max(LEAST_RETRY_AFTER_SECONDS, wait),
        )

    def _time_out(self, waiter: Waiter) -> None:
        if not waiter.future.done():
            self._waiters.remove(waiter)
            waiter.future.set_exception(self.make_overload_error(0.0))

    def assign(self, take: Callable[[], Target | None]) -> None:
        """Assigns free upstreams to the requests that have waited longest.

        Args:
          take: Acquires a free upstream; returns None if there is none.
        """
        while self._waiters:
            if self._waiters[0].is_disconnected():
                self._refuse(self._waiters.popleft())
                continue
            target = take()
            if target is None:
                return
            waiter = self._waiters.popleft()
            self._stop_timer(waiter)
            waiter.future.set_result(target)

    def refuse_all(self) -> None:
        """Refuses all waiting requests, when no upstream is left."""
        while self._waiters:
            self._refuse(self._waiters.popleft())

    def _refuse(self, waiter: Waiter) -> None:
        self._stop_timer(waiter)
        waiter.future.set_exception(self.make_overload_error(0.0))

    def _stop_timer(self, waiter: Waiter) -> None:
        if waiter.timer is not None:
            waiter.timer.cancel()
