"""Reads the rows of a service for a new owner, while its lease is renewed."""

from __future__ import annotations

import asyncio
import contextlib
import gc
from collections.abc import Iterator

from lentilmount.control.job_loader import JobLoader
from lentilmount.control.state_writer import (
    RENEW_SECONDS,
    SETTLE_SECONDS,
    StateWriter,
)


async def take_over(
    job_loader: JobLoader,
    state_writer: StateWriter,
    lease_expiry_seconds: float,
    stop_requested: asyncio.Event,
) -> bool:
    """Reads all rows of a service, renewing its lease meanwhile.

    A small host takes over 3 s to read 1,000 jobs, longer than its 2 s lease.
    Without renewals one host after another would take the lease, read, and
    lose it before it became the owner.

    Args:
      job_loader: Reads the jobs.
      state_writer: Renews the lease. Nothing else may write meanwhile, as the
        outcome of each write must be known before the next.
      lease_expiry_seconds: See `JobLoader.load`.
      stop_requested: Set when the owner is to stop. A graceful shutdown must
        not wait for a store that is unavailable.

    Returns:
      Whether the lease is still held and the owner is not to stop.

    Raises:
      UnavailableError: The rows cannot be read.
    """
    reading = asyncio.create_task(
        _read(job_loader, state_writer, lease_expiry_seconds)
    )
    renewing = asyncio.create_task(_renew_while_reading(reading, state_writer))
    stopping = asyncio.create_task(stop_requested.wait())
    try:
        with _pause_collector():
            await asyncio.wait(
                {renewing, stopping}, return_when=asyncio.FIRST_COMPLETED
            )
        if stop_requested.is_set():
            # A renewal in flight could take effect before the release of the
            # lease and make it fail.
            reading.cancel()
            await asyncio.wait({renewing}, timeout=SETTLE_SECONDS)
            return False
        if not await renewing:
            return False
        await reading
    finally:
        for task in (reading, renewing, stopping):
            task.cancel()
    return True


async def _renew_while_reading(
    reading: asyncio.Task[None], state_writer: StateWriter
) -> bool:
    """Renews the lease until all is read; returns whether it is still held."""
    while not reading.done():
        await asyncio.wait({reading}, timeout=RENEW_SECONDS)
        if not reading.done() and not await state_writer.renew():
            return False
    return True


@contextlib.contextmanager
def _pause_collector() -> Iterator[None]:
    """Disables the cycle collector while the cluster state is loaded.

    All that is read is kept, so there is nothing to collect, and each pass
    walks everything read so far: four fifths of the processor time of a
    takeover with 42,000 tasks, 0.55 s instead of 0.12 s on a whole core.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


async def _read(
    job_loader: JobLoader,
    state_writer: StateWriter,
    lease_expiry_seconds: float,
) -> None:
    # First, as it tells the ages of the rows that are loaded next.
    await state_writer.restore()
    await job_loader.load(lease_expiry_seconds)
