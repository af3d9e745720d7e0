"""Waiting for an event, but not for ever."""

from __future__ import annotations

import asyncio
import contextlib


async def wait_with_timeout(event: asyncio.Event, seconds: float) -> None:
    """Waits until an event is set or the time is over.

    `asyncio.wait_for` of Python 3.11 loses a cancellation that comes in the
    moment in which the event is set. A link would then go on after its owner
    had ended, and the owner would wait for it for ever.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()
