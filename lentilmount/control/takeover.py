"""A new owner's first reading of what the one before left."""

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
    lapse_seconds: float,
    ended: asyncio.Event,
) -> bool:
    """Reads all rows of a service, renewing its lease meanwhile.

    1,000 jobs take a small host over 3 s to read, and its lease is good for
    2 s. Without the renewals the next host took it and read, and the one after
    that, and nobody ever owned the service.

    Args:
      job_loader: Reads the jobs.
      state_writer: Renews the lease; nothing else may write meanwhile, as each
        write must be settled before the next.
      lapse_seconds: See `JobLoader.load`.
      ended: Set when the owner is to stop. A planned stop must not wait for a
        store that is away.

    Returns:
      Whether the service is ours and there is work to do for it.

    Raises:
      UnavailableError: The rows cannot be read.
    """
    reading = asyncio.create_task(
        _read(job_loader, state_writer, lapse_seconds)
    )
    holding = asyncio.create_task(_hold(reading, state_writer))
    stopping = asyncio.create_task(ended.wait())
    try:
        with _pause_collector():
            await asyncio.wait(
                {holding, stopping}, return_when=asyncio.FIRST_COMPLETED
            )
        if ended.is_set():
            # A renewal on its way would take effect after the lease's release
            # and make that fail.
            reading.cancel()
            await asyncio.wait({holding}, timeout=SETTLE_SECONDS)
            return False
        if not await holding:
            return False
        await reading
    finally:
        for task in (reading, holding, stopping):
            task.cancel()
    return True


async def _hold(reading: asyncio.Task[None], state_writer: StateWriter) -> bool:
    """Renews the lease until all is read; returns whether it is still held."""
    while not reading.done():
        await asyncio.wait({reading}, timeout=RENEW_SECONDS)
        if not reading.done() and not await state_writer.renew():
            return False
    return True


@contextlib.contextmanager
def _pause_collector() -> Iterator[None]:
    """Keeps the collector of reference cycles away from a growing book.

    All that is read stays, so there is nothing to collect, and each pass walks
    what was read so far: four fifths of the processor time of a takeover with
    42,000 tasks, 0.55 s instead of 0.12 s on a whole core.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


async def _read(
    job_loader: JobLoader, state_writer: StateWriter, lapse_seconds: float
) -> None:
    await job_loader.load(lapse_seconds)
    await state_writer.restore()
