"""Compares the spec of a resource with the one that an apply would set."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import attrs

from lentilmount.codec import unstructure
from lentilmount.resources import Resource


@attrs.frozen
class FieldChange:
    """A changed field; the value is None on the side where it is absent."""

    field: str
    current: Any
    wanted: Any


def list_changes(
    current: Resource | None, wanted: Resource
) -> list[FieldChange]:
    """Returns the fields of the spec that an apply would change."""
    before = dict(_flatten(unstructure(current.spec))) if current else {}
    after = dict(_flatten(unstructure(wanted.spec)))
    return [
        FieldChange(field, before.get(field), after.get(field))
        for field in sorted(before.keys() | after.keys())
        if before.get(field) != after.get(field)
    ]


def _flatten(value: Any, path: str = 'spec') -> Iterator[tuple[str, Any]]:
    if isinstance(value, dict):
        for name, item in value.items():
            yield from _flatten(item, f'{path}.{name}')
    else:
        yield path, list(value) if isinstance(value, tuple) else value
