"""Loading and following the jobs of a service."""

from __future__ import annotations

import asyncio
import contextlib

from lentilmount.clock import SystemClock
from lentilmount.control.job_loader import JobLoader
from lentilmount.control.keys import make_cancel_key, make_job_key
from lentilmount.coordination.table import ABSENT, Put
from lentilmount.coordination.transactions import make_token
from lentilmount.platform.documents import encode_job_row
from lentilmount.platform.store import PlatformTable
from lentilmount.scheduling.cluster import ClusterState
from tests.helpers import run
from tests.platform_fixtures import open_table
from tests.scheduling_fixtures import make_job

WAIT_SECONDS = 5.0


async def submit(table: PlatformTable, service: str, job_id: str) -> None:
    """Writes the row of a job as the accepting daemon does."""
    put = Put(
        make_job_key(service, job_id), encode_job_row(make_job(job_id)), ABSENT
    )
    await table.transact(make_token(), [put])


async def cancel(table: PlatformTable, service: str, job_id: str) -> None:
    """Writes the row of a cancellation."""
    put = Put(make_cancel_key(service, job_id), {}, ABSENT)
    await table.transact(make_token(), [put])


def test_an_owner_loads_only_jobs_of_its_own_service() -> None:
    """A job admitted by the owners of two services ran twice."""

    async def play() -> None:
        async with open_table() as (_, table):
            await submit(table, 'desk', 'first')
            await submit(table, 'other', 'second')
            cluster = ClusterState()
            arrived = asyncio.Event()
            cancelled: list[str] = []
            job_loader = JobLoader(
                'desk',
                table,
                cluster,
                SystemClock(),
                cancelled.append,
                arrived.set,
            )
            await job_loader.load(1.0)
            assert list(cluster.jobs) == ['first']
            following = asyncio.create_task(job_loader.follow())
            await submit(table, 'other', 'third')
            await cancel(table, 'other', 'second')
            await submit(table, 'desk', 'fourth')
            async with asyncio.timeout(WAIT_SECONDS):
                while 'fourth' not in cluster.jobs:
                    await arrived.wait()
                    arrived.clear()
            assert list(cluster.jobs) == ['first', 'fourth']
            assert cancelled == []
            following.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await following

    run(play())
