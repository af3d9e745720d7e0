"""Tasks that crash their workers while owners are replaced, in virtual time."""

from __future__ import annotations

import asyncio

import pytest

from lentilmount.clock import ManualClock
from lentilmount.scheduling.model import JobState
from stand_ins.model_site import MAX_CRASHES, MAX_LATER_STARTS, ModelSite
from stand_ins.model_worker import ALWAYS_CRASHING_PAYLOADS
from stand_ins.virtual_time import run_virtual
from tests.test_session_state_machine import make_spec

WORKERS = 3
DOWN_SECONDS = 0.5
"""Time without an owner at each takeover."""

MAX_SECONDS = 110.0
"""Time within which a job has to end; a finished job is known for 120 s."""

TAKEOVER_DELAYS = (0.02, 1.0, 4.0, 5.5, 6.5)
"""Times from a crash until the owner is replaced: before the crash can be
known, before and after the registration is gone, before and after the leases
have ended."""


@pytest.mark.parametrize('delay', TAKEOVER_DELAYS)
@pytest.mark.parametrize('keeps_ids', [True, False])
@pytest.mark.parametrize('payload', ALWAYS_CRASHING_PAYLOADS)
def test_crashes_count_although_each_is_followed_by_a_takeover(
    payload: str, keeps_ids: bool, delay: float
) -> None:
    """Each new owner began to count anew the workers that a task crashed."""
    clock = ManualClock()
    site = ModelSite(clock, keeps_ids=keeps_ids)

    async def scenario() -> None:
        for _ in range(WORKERS):
            site.add_worker()
        site.start_owner()
        await asyncio.sleep(1.5)
        spec = make_spec(0, payload, False)
        site.submit(spec)
        begin = clock.now
        starts = 0
        while clock.now < begin + MAX_SECONDS:
            await asyncio.sleep(0.01)
            job = site.cluster.jobs[spec.id] if site.cluster else None
            if job is not None and job.state is JobState.FAILED:
                break
            if len(site.record) > starts:
                starts = len(site.record)
                await asyncio.sleep(delay)
                await site.kill_owner()
                await asyncio.sleep(DOWN_SECONDS)
                site.start_owner()
        else:
            raise AssertionError('the job has not ended')
        await site.kill_owner()

    run_virtual(scenario(), clock)
    assert len(site.record) <= MAX_CRASHES + MAX_LATER_STARTS
