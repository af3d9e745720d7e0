"""The process of the table service: `python -m soak.store`."""

from __future__ import annotations

import asyncio

import orjson

from soak.work import MAX_ATTEMPTS
from stand_ins.entry_hosts import PREFIX, make_configuration, serve
from stand_ins.rowstore import RowStore, make_row_service


async def _serve() -> None:
    store = RowStore()
    configuration = make_configuration(1, PREFIX, MAX_ATTEMPTS)
    store.write(('op', '', 'config'), configuration)
    _, address = serve(make_row_service(store))
    print(orjson.dumps({'address': address}).decode(), flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(_serve())
