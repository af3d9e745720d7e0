"""Keys of the rows that commands write and queries read."""

from __future__ import annotations

from typing import Any

from lentilmount.codec import unstructure
from lentilmount.coordination.table import Key, Row
from lentilmount.resources import Kind, Resource, make_path

REVISION_KEY = Key('configuration', 'revision')
RESOURCES = 'resource'
REQUESTS = 'request'


def make_resource_key(path: str) -> Key:
    """Key of a resource that takes part in the configuration."""
    return Key(RESOURCES, path)


def make_job_key(team: str, name: str) -> Key:
    """Key of a job as it was accepted."""
    return Key(f'job/{team}', name)


def make_task_id(team: str, name: str) -> str:
    """Id of a job's only task."""
    return f'{make_path(Kind.JOB, team, name)}/0'


def make_stone(slice_name: str) -> dict[str, Any]:
    """Body of the row that keeps the name of a deleted job taken."""
    return {'deleted': True, 'slice': slice_name}


def is_deleted(row: Row) -> bool:
    """Tells whether a job's row only keeps its name from being used again."""
    return bool(row.body.get('deleted'))


def make_request_key(request_id: str) -> Key:
    """Key of the answer to a command that carried a request id."""
    return Key(REQUESTS, request_id)


def encode_resource(resource: Resource) -> dict[str, Any]:
    """Builds the plain form of a resource."""
    plain: dict[str, Any] = unstructure(resource)
    return plain
