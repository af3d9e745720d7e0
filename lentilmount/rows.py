"""Keys and bodies of the table rows that commands write and queries read."""

from __future__ import annotations

from typing import Any

from lentilmount.codec import unstructure
from lentilmount.coordination.table import Key, Row
from lentilmount.resources import Kind, Resource, make_path

REVISION_KEY = Key('configuration', 'revision')
RESOURCES = 'resource'
REQUESTS = 'request'


def make_resource_key(path: str) -> Key:
    """Returns the key of a resource that is part of the configuration."""
    return Key(RESOURCES, path)


def make_job_key(team: str, name: str) -> Key:
    """Returns the key of the row that stores an accepted job."""
    return Key(f'job/{team}', name)


def make_task_id(team: str, name: str) -> str:
    """Returns the id of a job's only task."""
    return f'{make_path(Kind.JOB, team, name)}/0'


def make_tombstone(slice_name: str) -> dict[str, Any]:
    """Returns the body of a tombstone, which reserves a deleted job's name."""
    return {'deleted': True, 'slice': slice_name}


def is_deleted(row: Row) -> bool:
    """Returns whether a job's row is a tombstone."""
    return bool(row.body.get('deleted'))


def make_request_key(request_id: str) -> Key:
    """Returns the key of the stored response to a command with a request id."""
    return Key(REQUESTS, request_id)


def encode_resource(resource: Resource) -> dict[str, Any]:
    """Converts a resource to a JSON object."""
    plain: dict[str, Any] = unstructure(resource)
    return plain
