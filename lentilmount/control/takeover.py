"""A new owner's first reading of what the one before left."""

from __future__ import annotations

import asyncio
import contextlib
import gc
from collections.abc import Iterator

from lentilmount.control.commits import RENEW_SECONDS, Commits
from lentilmount.control.intake import Intake


async def take_over(
    intake: Intake, commits: Commits, lapse_seconds: float
) -> bool:
    """Reads all rows of a service, renewing its lease meanwhile.

    1,000 jobs take a small host over 3 s to read, and its lease is good for
    2 s. Without the renewals the next host took it and read, and the one after
    that, and nobody ever owned the service.

    Args:
      intake: Reads the jobs.
      commits: Renews the lease; nothing else may write meanwhile, as each
        write must be settled before the next.
      lapse_seconds: See `Intake.load`.

    Returns:
      Whether the service is still ours.

    Raises:
      UnavailableError: The rows cannot be read.
    """
    reading = asyncio.create_task(_read(intake, commits, lapse_seconds))
    try:
        with _pause_collector():
            while not reading.done():
                await asyncio.wait({reading}, timeout=RENEW_SECONDS)
                if not reading.done() and not await commits.renew():
                    return False
            await reading
    finally:
        reading.cancel()
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


async def _read(intake: Intake, commits: Commits, lapse_seconds: float) -> None:
    await intake.load(lapse_seconds)
    await commits.restore()
