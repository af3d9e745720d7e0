"""Waits for an asyncio event with a timeout."""

from __future__ import annotations

import asyncio
import contextlib


async def wait_with_timeout(event: asyncio.Event, seconds: float) -> None:
    """Waits until an event is set or the timeout, in seconds, has passed.

    `asyncio.wait_for` of Python 3.11 loses a cancellation that arrives just as
    the event is set. The cancelled worker session would then keep running, and
    the owner that cancelled it would wait for it forever.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()
