"""Typed messages to and from JSON, with every wrong field named."""

from __future__ import annotations

import json
import re
from typing import Any, TypeVar

import attrs
import cattrs
from cattrs import transform_error
from cattrs.errors import ForbiddenExtraKeysError

from lentilmount.errors import FieldProblem, InvalidError
from lentilmount.resources import SPECS, Kind, Metadata, Resource, Status

T = TypeVar('T')


class _WrongTypeError(ValueError):
    """A value of another JSON type than the field has."""


def _strict(expected: type, accepted: tuple[type, ...]) -> Any:
    def structure(value: Any, _: Any) -> Any:
        wrong_bool = isinstance(value, bool) and bool not in accepted
        if wrong_bool or not isinstance(value, accepted):
            given = type(value).__name__
            raise _WrongTypeError(
                f'must be {expected.__name__}, not {given} {value!r}'
            )
        return expected(value)

    return structure


def _describe(error: BaseException, _: type | None) -> str:
    if isinstance(error, ForbiddenExtraKeysError):
        names = ', '.join(sorted(error.extra_fields))
        allowed = ', '.join(a.name for a in attrs.fields(error.cl))
        return f'unknown field {names}; allowed are {allowed}'
    if isinstance(error, KeyError):
        return f'required field {error.args[0]} is missing'
    return str(error)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(int, _strict(int, (int,)))
    converter.register_structure_hook(float, _strict(float, (int, float)))
    converter.register_structure_hook(str, _strict(str, (str,)))
    converter.register_structure_hook(bool, _strict(bool, (bool,)))
    return converter


CONVERTER = _make_converter()


@attrs.frozen
class _Envelope:
    """A resource whose spec is not yet read."""

    kind: Kind
    metadata: Metadata
    spec: dict[str, Any] = attrs.Factory(dict)
    status: Status = Status()


def structure(value: Any, cls: type[T], where: str = '$') -> T:
    """Builds a typed message from parsed JSON.

    Raises:
      InvalidError: With one `FieldProblem` for each wrong field.
    """
    try:
        return CONVERTER.structure(value, cls)
    except Exception as error:
        problems = tuple(
            _make_problem(line)
            for line in transform_error(error, where, _describe)
        )
        summary = '; '.join(str(problem) for problem in problems)
        raise InvalidError(summary, fields=problems) from error


def structure_resource(value: Any) -> Resource:
    """Builds a resource of any kind from parsed JSON; see `structure`."""
    envelope = structure(value, _Envelope)
    spec: Any = structure(envelope.spec, SPECS[envelope.kind], '$.spec')
    return Resource(envelope.kind, envelope.metadata, spec, envelope.status)


def _make_problem(line: str) -> FieldProblem:
    problem, _, field = line.rpartition(' @ ')
    path = [part for part in field.split('.') if part != '$']
    # A validator fails for the whole class and quotes the field's name.
    quoted = re.match(r"'(\w+)' ", problem)
    if quoted:
        path.append(quoted[1])
    return FieldProblem('.'.join(path) or '$', problem)


def unstructure(value: Any) -> Any:
    """Builds plain JSON values from a typed message."""
    return CONVERTER.unstructure(value)


def decode(data: bytes, cls: type[T]) -> T:
    """Builds a typed message from JSON bytes.

    Raises:
      InvalidError: Not JSON, or a wrong field.
    """
    return structure(parse_json(data), cls)


def parse_json(data: bytes) -> Any:
    """Parses JSON bytes.

    Raises:
      InvalidError: Empty, not UTF-8, or not JSON, with the place.
    """
    if not data.strip():
        raise InvalidError('the body is empty; send a JSON object')
    try:
        return json.loads(data.decode('utf-8'))
    except UnicodeDecodeError as error:
        raise InvalidError(
            f'the body is not UTF-8 at byte {error.start}'
        ) from error
    except json.JSONDecodeError as error:
        raise InvalidError(
            f'the body is not JSON: {error.msg} at line {error.lineno}, '
            f'column {error.colno}'
        ) from error
    except RecursionError as error:
        raise InvalidError('the body is nested too deeply') from error


def encode(value: Any) -> bytes:
    """Builds JSON bytes from a typed message."""
    return json.dumps(unstructure(value), separators=(',', ':')).encode()
