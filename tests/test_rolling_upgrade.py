"""Rows that owners of two versions read, while daemons are upgraded."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest

from lentilmount.clock import ManualClock
from lentilmount.control.keys import COUNTS_TABLE, JOBS_TABLE, STATES_TABLE
from stand_ins.model_owners import SERVICE
from stand_ins.model_site import ModelSite
from stand_ins.virtual_time import run_virtual
from tests.test_session_state_machine import make_spec

PAYLOADS = ('longer', 'lasting', 'crashing', 'always-crashing', 'short')
NEW_FIELD = 'of_a_later_version'


def add_fields(document: Any) -> Any:
    """Returns a document with a further field in each of its objects."""
    if isinstance(document, dict):
        added = {name: add_fields(value) for name, value in document.items()}
        return {**added, NEW_FIELD: {'a': 1}}
    if isinstance(document, list):
        return [add_fields(value) for value in document]
    return document


def add_entry_fields(body: dict[str, Any]) -> dict[str, Any]:
    """Returns a state row with further fields in the entry of each task."""
    tasks = {
        name: entry if name == 'done' else _extend(entry)
        for name, entry in body.get('tasks', {}).items()
    }
    return {**body, 'tasks': tasks, NEW_FIELD: 1}


def _extend(entry: list[Any]) -> list[Any]:
    defaults = [0, '', [], '', [], 0, []]
    fields = [*entry, *defaults[len(entry) :]]
    starts = [[*start, 'more'] for start in fields[-1]]
    return [*fields[:-1], starts, 'more', 7]


def upgrade_rows(site: ModelSite) -> None:
    """Writes all rows of the service as a later version might."""
    for address, change in list(site.store.rows.items()):
        table, part, _ = address
        if part != SERVICE or change.value is None:
            continue
        token, body = orjson.loads(change.value)
        if table == STATES_TABLE:
            body = add_entry_fields(body)
        elif table == JOBS_TABLE:
            body = add_fields(body)
        elif table == COUNTS_TABLE and 'pairs' in body:
            body = {**body, NEW_FIELD: 1}
        site.store.write(address, orjson.dumps([token, body]))


@pytest.mark.parametrize('seconds', [0.1, 0.5, 1.5, 4.0])
def test_an_owner_takes_over_rows_of_a_later_version(seconds: float) -> None:
    """A takeover ended at a row with more fields, and so did the upgrade."""
    clock = ManualClock()
    site = ModelSite(clock)

    async def play() -> None:
        for _ in range(3):
            site.add_worker()
        site.start_owner()
        await asyncio.sleep(1.0)
        for number in range(15):
            payload = PAYLOADS[number % len(PAYLOADS)]
            site.submit(make_spec(number, payload, number % 2 == 0))
        await asyncio.sleep(seconds)
        await site.kill_owner()
        upgrade_rows(site)
        site.start_owner()
        await site.finish()
        await site.kill_owner()

    run_virtual(play(), clock)
    assert site.violations == []
