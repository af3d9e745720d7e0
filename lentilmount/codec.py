"""Converts typed messages to and from JSON; reports every invalid field."""

from __future__ import annotations

import enum
import json
import math
import re
import typing
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import cattrs
from cattrs import transform_error
from cattrs.errors import (
    AttributeValidationNote,
    ClassValidationError,
    IterableValidationError,
    IterableValidationNote,
)

from lentilmount.errors import FieldProblem, InvalidError
from lentilmount.resources import SPECS, Kind, Metadata, Resource, Status

T = TypeVar('T')

_QUOTED_NAME = re.compile(r"^'\w+' ")
"""Field name that attrs validators prepend to a message; removed, because the
path already names the field."""


class _WrongValueError(ValueError):
    """The value is not valid for its field."""


def _show(value: Any, max_length: int = 60) -> str:
    text = repr(value)
    return text if len(text) <= max_length else text[:max_length] + '...'


def _strict(name: str, expected: type, accepted: tuple[type, ...]) -> Any:
    def structure(value: Any, _: Any) -> Any:
        wrong_bool = isinstance(value, bool) and bool not in accepted
        if wrong_bool or not isinstance(value, accepted):
            raise _WrongValueError(f'must be {name}, not {_show(value)}')
        return expected(value)

    return structure


def _structure_float(value: Any, _: Any) -> float:
    number = _strict('a number', float, (int, float))(value, _)
    if not math.isfinite(number):
        raise _WrongValueError(f'must be a finite number, not {value!r}')
    return float(number)


def _structure_text(value: Any, _: Any) -> str:
    text: str = _strict('a string', str, (str,))(value, _)
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise _WrongValueError('must not hold a lone surrogate') from error
    return text


def _structure_enum(value: Any, cls: type[enum.Enum]) -> enum.Enum:
    for member in cls:
        if member.value == value:
            return member
    allowed = ', '.join(str(member.value) for member in cls)
    raise _WrongValueError(f'must be one of {allowed}, not {_show(value)}')


def _is_plain_tuple(cls: Any) -> bool:
    return typing.get_origin(cls) is tuple and typing.get_args(cls)[1:] == (
        ...,
    )


def _make_tuple_hook(
    cls: Any, converter: cattrs.Converter
) -> Callable[[Any, Any], tuple[Any, ...]]:
    element = typing.get_args(cls)[0]

    def structure(value: Any, _: Any) -> tuple[Any, ...]:
        # A string is iterable too: without this check "alex-a" would be
        # accepted as a list of six zones.
        if not isinstance(value, list | tuple):
            raise _WrongValueError(f'must be a list, not {_show(value)}')
        items, errors = [], []
        for index, item in enumerate(value):
            try:
                items.append(converter.structure(item, element))
            except Exception as error:
                note = IterableValidationNote('', index, element)
                error.add_note(note)
                errors.append(error)
        if errors:
            raise IterableValidationError('', errors, cls)
        return tuple(items)

    return structure


def _structure_each_field(value: Any, cls: Any) -> Any:
    """Builds an attrs instance and collects the errors of all fields.

    The converter's generated code is faster, but runs the validators in the
    constructor, which raises at the first failure.
    """
    if not isinstance(value, dict):
        raise _WrongValueError(f'must be an object, not {_show(value)}')
    attrs.resolve_types(cls)
    fields = attrs.fields_dict(cls)
    errors: list[Exception] = []
    values: dict[str, Any] = {}
    for name in [*fields, *(key for key in value if key not in fields)]:
        try:
            if name in value or fields[name].default is attrs.NOTHING:
                values[name] = _structure_field(value, fields, name)
        except Exception as error:
            error.add_note(AttributeValidationNote('', str(name), None))
            errors.append(error)
    if errors:
        raise ClassValidationError('', errors, cls)
    return cls(**values)


def _structure_field(
    value: dict[str, Any],
    fields: dict[str, attrs.Attribute[Any]],
    name: str,
) -> Any:
    if name not in fields:
        allowed = ', '.join(fields)
        raise _WrongValueError(f'is not a known field; known are {allowed}')
    if name not in value:
        raise _WrongValueError('is missing, and required')
    field = fields[name]
    built = _DIAGNOSER.structure(value[name], typing.cast(Any, field.type))
    if field.validator is not None:
        field.validator(None, field, built)
    return built


def _describe(error: BaseException, _: type | None) -> str:
    if isinstance(error, OverflowError):
        return 'must be a finite number'
    if isinstance(error, AttributeError | TypeError):
        return 'must be an object'
    text = str(error.args[0]) if error.args else type(error).__name__
    return _QUOTED_NAME.sub('', text)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(
        int, _strict('a whole number', int, (int,))
    )
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(str, _structure_text)
    converter.register_structure_hook(
        bool, _strict('true or false', bool, (bool,))
    )
    converter.register_structure_hook_func(
        lambda cls: isinstance(cls, type) and issubclass(cls, enum.Enum),
        _structure_enum,
    )
    converter.register_structure_hook_factory(_is_plain_tuple)(_make_tuple_hook)
    return converter


CONVERTER = _make_converter()

_DIAGNOSER = _make_converter()
_DIAGNOSER.register_structure_hook_func(attrs.has, _structure_each_field)


@attrs.frozen
class _Envelope:
    """A resource whose spec is not converted yet."""

    kind: Kind
    metadata: Metadata
    spec: dict[str, Any] = attrs.Factory(dict)
    status: Status = Status()


def structure(value: Any, cls: type[T], where: str = '$') -> T:
    """Builds a typed message from parsed JSON.

    Raises:
      InvalidError: The value is invalid; has a `FieldProblem` per field.
    """
    try:
        return CONVERTER.structure(value, cls)
    except Exception:
        problems = _diagnose(value, cls, where)
        summary = '; '.join(str(problem) for problem in problems)
        raise InvalidError(summary, fields=problems) from None


def _diagnose(value: Any, cls: Any, where: str) -> tuple[FieldProblem, ...]:
    try:
        _DIAGNOSER.structure(value, cls)
    except Exception as error:
        lines = transform_error(error, where, _describe)
        return tuple(_make_problem(line) for line in lines)
    raise AssertionError(f'{cls} is refused without a reason')


def structure_resource(value: Any) -> Resource:
    """Builds a resource of any kind from parsed JSON; see `structure`."""
    envelope = structure(value, _Envelope)
    spec: Any = structure(envelope.spec, SPECS[envelope.kind], '$.spec')
    return Resource(envelope.kind, envelope.metadata, spec, envelope.status)


def _make_problem(line: str) -> FieldProblem:
    problem, _, field = line.rpartition(' @ ')
    return FieldProblem(field.removeprefix('$').lstrip('.') or '$', problem)


def unstructure(value: Any) -> Any:
    """Converts a typed message to plain JSON values."""
    return CONVERTER.unstructure(value)


def decode(data: bytes, cls: type[T]) -> T:
    """Builds a typed message from JSON bytes.

    Raises:
      InvalidError: The data is not JSON or a field is invalid.
    """
    return structure(parse_json(data), cls)


def parse_json(data: bytes) -> Any:
    """Parses JSON bytes.

    Raises:
      InvalidError: The data is empty, not UTF-8 or not JSON; the message
        gives the position.
    """
    if not data.strip():
        raise InvalidError('the body is empty; send a JSON object')
    try:
        return json.loads(
            data.decode('utf-8'),
            object_pairs_hook=_read_pairs,
            parse_constant=_refuse_constant,
        )
    except UnicodeDecodeError as error:
        raise InvalidError(
            f'the body is not UTF-8 at byte {error.start}'
        ) from error
    except json.JSONDecodeError as error:
        raise InvalidError(
            f'the body is not JSON: {error.msg} at line {error.lineno}, '
            f'column {error.colno}'
        ) from error
    except ValueError as error:
        raise InvalidError(f'the body is not JSON: {error}') from error
    except RecursionError as error:
        raise InvalidError('the body is nested too deeply') from error


def _read_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) < len(pairs):
        names = [name for name, _ in pairs]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        raise _WrongValueError(f'field {", ".join(duplicates)} is given twice')
    return value


def _refuse_constant(name: str) -> Any:
    raise _WrongValueError(f'{name} is not a JSON number')


def encode(value: Any) -> bytes:
    """Converts a typed message to JSON bytes."""
    return json.dumps(unstructure(value), separators=(',', ':')).encode()
