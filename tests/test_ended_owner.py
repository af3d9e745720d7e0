"""What an owner leaves behind when it is ended at any moment."""

from __future__ import annotations

import asyncio
import gc
import warnings
from typing import Any

from lentilmount.clock import ManualClock
from stand_ins.model_site import ModelSite
from stand_ins.virtual_time import run_virtual
from tests.test_session_state_machine import make_spec

JOBS = 8
SEARCHED_SECONDS = 0.08
STEP_SECONDS = 0.001
"""Starts are gathered for twice that time before they are sent."""


def end_owner_after(seconds: float) -> list[str]:
    """Ends an owner after it got jobs; returns the errors that nobody awaits.

    Args:
      seconds: Time from the submission of jobs until the end of the owner.
    """
    clock = ManualClock()
    site = ModelSite(clock)
    errors: list[str] = []

    def record(loop: asyncio.AbstractEventLoop, error: dict[str, Any]) -> None:
        del loop
        errors.append(str(error['message']))

    async def play() -> None:
        asyncio.get_running_loop().set_exception_handler(record)
        for _ in range(2):
            site.add_worker()
        site.start_owner()
        await asyncio.sleep(1.0)
        for number in range(JOBS):
            site.submit(make_spec(number, 'short', False))
        await asyncio.sleep(seconds)
        await site.kill_owner()
        await asyncio.sleep(0.1)
        site.start_owner()
        await site.finish()
        await site.kill_owner()

    with warnings.catch_warnings(record=True) as caught:
        warnings.simplefilter('always')
        run_virtual(play(), clock)
        gc.collect()
    errors += [str(w.message) for w in caught if w.category is RuntimeWarning]
    return errors + site.violations


def test_an_owner_that_ends_leaves_no_work_behind() -> None:
    """Starts that were being gathered were sent by an owner that had ended."""
    steps = round(SEARCHED_SECONDS / STEP_SECONDS)
    found = {n: end_owner_after(n * STEP_SECONDS) for n in range(steps)}
    assert {n: errors for n, errors in found.items() if errors} == {}
