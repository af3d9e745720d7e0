"""A nightly report that two processes look after and one of them sends.

Each process runs this with its own name and, in earnest, with a table that
both reach. Here both run in one process on a table in memory.
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
    """Takes the lease and records the report of a night, once."""
    keeper = LeaseKeeper(table, name, LEASE_SECONDS, time.monotonic)
    lease = await keeper.try_acquire(REPORT)
    while lease is None:
        await asyncio.sleep(LEASE_SECONDS / 3)
        lease = await keeper.try_acquire(REPORT)
    sent = Put(Key('sent', night), {'by': name, 'epoch': lease.epoch})
    try:
        # One transaction renews the lease and records the report: it fails
        # whole if another process has taken the lease meanwhile.
        await keeper.renew(lease, [sent])
    except LeaseLostError:
        return f'{name} lost the lease'
    except ConflictError:
        return f'{name} found it sent'
    finally:
        await keeper.release(lease)
    return f'{name} sent it, epoch {lease.epoch}'


async def main() -> list[str]:
    """Lets two processes try at once."""
    table = MemoryTable()
    return await asyncio.gather(
        send_report(table, 'one/1', '2026-12-02'),
        send_report(table, 'two/1', '2026-12-02'),
    )


if __name__ == '__main__':
    print('\n'.join(asyncio.run(main())))
