"""Reads the configuration from the table: revision, changes, or a snapshot."""

from __future__ import annotations

from lentilmount.batch.records import make_change_key
from lentilmount.codec import structure_resource
from lentilmount.configuration import CONFIGURATION_LOG, Change
from lentilmount.coordination.table import Row, Table, scan_all
from lentilmount.resources import Resource
from lentilmount.rows import RESOURCES, REVISION_KEY

PAGE = 200
TRIES = 5


def read_change(row: Row) -> Change:
    """Decodes an entry of the configuration's change log."""
    resource = row.body['resource']
    return Change(
        int(row.key.sort),
        row.body['path'],
        structure_resource(resource) if resource else None,
    )


async def read_revision(table: Table) -> int:
    """Returns the newest accepted revision; 0 for none."""
    rows = await table.read([REVISION_KEY])
    return rows[REVISION_KEY].version if REVISION_KEY in rows else 0


async def read_changes(
    table: Table, after: int, newest: int
) -> list[Change] | None:
    """Returns the changes after a revision, at least up to `newest`.

    Returns:
      The changes, or None if some of them were pruned.
    """
    changes: list[Change] = []
    last = after
    while last < newest:
        key = make_change_key(CONFIGURATION_LOG, last)
        rows = await table.scan(key.partition, key.sort, PAGE)
        found = [read_change(row) for row in rows]
        if not found or found[0].revision != last + 1:
            return None
        changes += found
        last = found[-1].revision
    return changes


async def read_snapshot(table: Table) -> tuple[int, list[Resource]] | None:
    """Returns a consistent snapshot: a revision and all resources at it.

    The scan takes several calls during concurrent writes, so its rows may be
    of different revisions. Applying in order all changes that were accepted
    from before the scan until after it brings every changed row to the same
    revision.

    Returns:
      The snapshot, or None if the log was pruned faster than it was read.
    """
    for _ in range(TRIES):
        before = await read_revision(table)
        rows = await scan_all(table, RESOURCES)
        resources = [structure_resource(row.body) for row in rows]
        found = {resource.path: resource for resource in resources}
        after = await read_revision(table)
        changes = await read_changes(table, before, after)
        if changes is None:
            continue
        for change in changes:
            if change.resource is None:
                found.pop(change.path, None)
            else:
                found[change.path] = change.resource
        revision = changes[-1].revision if changes else after
        return revision, list(found.values())
    return None
