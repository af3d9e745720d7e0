"""Sends a nightly report from exactly one of two processes.

In production each process runs `send_report` under its own name on a table
that both can reach. In this example both run in one process on a table in
memory.
"""

from __future__ import annotations

import asyncio
import time

from lentilmount.coordination.leases import LeaseKeeper, LeaseLostError
from lentilmount.coordination.table import ConflictError, Key, Put, Table
from stand_ins.table import MemoryTable

REPORT = Key('lease', 'nightly-report')
LEASE_SECONDS = 0.3


async def send_report(table: Table, name: str, night: str) -> str:
    """Acquires the lease and records the report of a night, at most once."""
    keeper = LeaseKeeper(table, name, LEASE_SECONDS, time.monotonic)
    lease = await keeper.try_acquire(REPORT)
    while lease is None:
        await asyncio.sleep(LEASE_SECONDS / 3)
        lease = await keeper.try_acquire(REPORT)
    sent = Put(Key('sent', night), {'by': name, 'epoch': lease.epoch})
    try:
        # One transaction renews the lease and records the report; it fails
        # as a whole if another process has acquired the lease meanwhile.
        await keeper.renew(lease, [sent])
    except LeaseLostError:
        return f'{name} lost the lease'
    except ConflictError:
        return f'{name} found it sent'
    finally:
        await keeper.release(lease)
    return f'{name} sent it, epoch {lease.epoch}'


async def main() -> list[str]:
    """Runs two processes that compete for the lease."""
    table = MemoryTable()
    return await asyncio.gather(
        send_report(table, 'one/1', '2026-12-02'),
        send_report(table, 'two/1', '2026-12-02'),
    )


if __name__ == '__main__':
    print('\n'.join(asyncio.run(main())))
