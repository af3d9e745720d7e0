"""Checks of the documentation against the code, and of its commands."""

from __future__ import annotations

import enum
import json
import pathlib
import re
import shlex
import typing
from collections.abc import Iterator
from typing import Any

import attrs
import pytest
from tornado.routing import PathMatches

from lentilmount.cli.definition import COMMANDS, EXIT_STATUSES, make_parser
from lentilmount.codec import structure_resource, unstructure
from lentilmount.context import Environment
from lentilmount.errors import ANSWERS, ErrorKind
from lentilmount.metrics import GAUGES
from lentilmount.resources import SPECS, Kind, Metadata, Status
from lentilmount.status import ExitStatus
from stand_ins.site import Site, run_tool

ROOT = pathlib.Path(__file__).parent.parent
EXAMPLES = ('nilewave', 'nilewave-jobs', 'wspolnota', 'wspolnota-jobs')
DOCS = ROOT / 'docs'
API = DOCS / 'api'

_METHODS = ('get', 'post', 'put', 'delete', 'patch', 'head', 'options')


def read_rows(path: pathlib.Path, header: str) -> list[list[str]]:
    """Returns the rows of all tables of a page with a given header."""
    rows: list[list[str]] = []
    inside = False
    for line in path.read_text('utf-8').splitlines():
        if line == header:
            inside = True
        elif not line.startswith('|'):
            inside = False
        elif inside and not line.startswith('|---'):
            rows.append([cell.strip() for cell in line.strip('|').split('|')])
    return rows


FIELDS = '| field | type | default | meaning |'

_TYPES = {int: 'whole number', float: 'number', str: 'string'}


def name_type(cls: Any) -> str:
    if typing.get_origin(cls) is tuple:
        return f'list of {name_type(typing.get_args(cls)[0])}s'
    if isinstance(cls, type) and issubclass(cls, enum.Enum):
        return ', '.join(str(member.value) for member in cls)
    if cls is bool:
        return 'true or false'
    return _TYPES.get(cls) or str(cls.__name__).lower()


def list_fields(cls: Any, path: str, given: Any = None) -> Iterator[list[str]]:
    """Yields path, type and default of each field, as in the pages."""
    attrs.resolve_types(cls)
    for name, field in attrs.fields_dict(cls).items():
        default = getattr(given, name, field.default)
        kind: Any = field.type
        if isinstance(kind, type) and attrs.has(kind):
            yield from list_fields(kind, f'{path}{name}.', default)
            continue
        shown = (
            'required'
            if default is attrs.NOTHING
            else json.dumps(unstructure(default))
        )
        yield [f'`{path}{name}`', name_type(kind), f'`{shown}`']


@pytest.mark.parametrize('kind', list(Kind))
def test_a_page_for_each_kind(kind: Kind) -> None:
    path = API / f'{kind.value.lower()}.md'
    rows = read_rows(path, FIELDS)
    assert [row[:3] for row in rows] == list(list_fields(SPECS[kind], 'spec.'))
    assert all(row[3] for row in rows)
    (example,) = re.findall(
        r'```json\n(.*?)```', path.read_text('utf-8'), re.DOTALL
    )
    assert structure_resource(json.loads(example)).kind is kind


def test_the_fields_that_all_kinds_share() -> None:
    shown = [row[:3] for row in read_rows(API / 'README.md', FIELDS)]
    expected = [
        *list_fields(Metadata, 'metadata.'),
        *list_fields(Status, 'status.'),
    ]
    assert [row for row in shown if '.' in row[0]] == expected


def test_the_kinds_of_error() -> None:
    header = '| kind | HTTP | exit status | again later | meaning |'
    assert read_rows(API / 'README.md', header) == [
        [
            f'`{kind.value}`',
            str(ANSWERS[kind].http),
            str(int(ANSWERS[kind].exit_status)),
            'yes' if ANSWERS[kind].retry else 'no',
            ANSWERS[kind].title,
        ]
        for kind in ErrorKind
    ]


def test_the_routes(site: Site) -> None:
    header = '| method | route | what it does |'
    documented = {
        (method, route.strip('`'))
        for method, route, _ in read_rows(API / 'README.md', header)
    }
    served = set()
    for app in site.daemons[0].apps.values():
        for rule in app.wildcard_router.rules:
            assert isinstance(rule.matcher, PathMatches)
            route = _name_route(rule.matcher.regex.pattern)
            methods = [
                method.upper()
                for method in _METHODS
                if method in _list_methods(rule.target)
            ]
            if len(methods) == len(_METHODS):
                methods = ['any']
            served |= {(method, route) for method in methods}
    assert documented == served


def _list_methods(handler: type) -> set[str]:
    return {name for cls in handler.__mro__[:2] for name in vars(cls)}


def _name_route(pattern: str) -> str:
    route = pattern.rstrip('$')
    if route.startswith('/call/'):
        return '/call/TEAM/SERVICE/PATH'
    for name in ('KIND', 'TEAM', 'NAME'):
        if name == 'KIND' and '([a-z]+)' in route:
            route = route.replace('([a-z]+)', name, 1)
        elif name != 'KIND':
            route = route.replace('([^/]+)', name, 1)
    return route


def test_the_commands() -> None:
    rows = read_rows(DOCS / 'cli.md', '| command | what it does |')
    assert rows == [[f'`{c.name}`', c.text] for c in COMMANDS]
    statuses = read_rows(DOCS / 'cli.md', '| status | meaning |')
    assert [int(row[0]) for row in statuses] == sorted(ExitStatus)
    for status, meaning in statuses:
        assert f'{status:5}{meaning}' in EXIT_STATUSES


def list_commands() -> list[tuple[str, str]]:
    pages = [ROOT / 'README.md', *sorted(DOCS.rglob('*.md'))]
    return [
        (page.name, match[1])
        for page in pages
        for match in re.finditer(
            r'^    (?:\S*/)?lentilmount (.*)$', page.read_text('utf-8'), re.M
        )
    ]


@pytest.mark.parametrize(('page', 'line'), list_commands())
def test_every_command_of_the_pages_parses(page: str, line: str) -> None:
    options = make_parser(Environment()).parse_args(
        shlex.split(line, comments=True)
    )
    if 'file' in vars(options) and options.file != '-':
        assert (ROOT / options.file).exists(), page


def test_the_metrics() -> None:
    documented = ' '.join(
        row[0]
        for row in read_rows(
            DOCS / 'operators' / 'README.md', '| metric | meaning |'
        )
    )
    for name in GAUGES:
        assert f'`{name}`' in documented


def test_links_between_pages_resolve() -> None:
    for page in [ROOT / 'README.md', *DOCS.rglob('*.md')]:
        for target in re.findall(r'\]\(([^):#]+)\)', page.read_text('utf-8')):
            assert (page.parent / target).exists(), f'{page.name}: {target}'


def test_the_modules_that_the_architecture_names_exist() -> None:
    text = (DOCS / 'ARCHITECTURE.md').read_text('utf-8')
    for name in re.findall(r'`((?:\w+/)?\w+\.py)`', text):
        inside = ROOT / 'lentilmount' / name
        assert inside.exists() or (ROOT / name).exists(), name


def test_the_example_resources_are_valid() -> None:
    for name in EXAMPLES:
        path = str(ROOT / 'examples' / f'{name}.json')
        assert run_tool('validate', '-f', path).status is ExitStatus.OK
