"""Finds the line numbers of fields in JSON text with comments."""

from __future__ import annotations

import re

import attrs

_TOKEN = re.compile(
    r"""
    (?P<space>\s+|//[^\n]*|/\*.*?\*/)
    |(?P<text>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*'|[^\s{}\[\]:,"'/]+)
    |(?P<mark>.)
    """,
    re.DOTALL | re.VERBOSE,
)


@attrs.define
class _Level:
    """An object or list that is not closed yet.

    Attributes:
      path: Path of the object or list.
      is_list: Whether it is a list.
      index: Index of the current item of a list.
      key: Current key of an object, or ''.
    """

    path: str
    is_list: bool = False
    index: int = 0
    key: str = ''

    def make_path(self) -> str:
        """Returns the path of the current item."""
        if self.is_list:
            return f'{self.path}[{self.index}]'
        return f'{self.path}.{self.key}'.lstrip('.')


def find_lines(text: str) -> dict[str, int]:
    """Returns the line of each field, by path such as access[0].verbs.

    The text is not validated: the JSON library does that, and the lines only
    serve error messages.
    """
    lines: dict[str, int] = {}
    levels = [_Level('')]
    line = 1
    for match in _TOKEN.finditer(text):
        level = levels[-1]
        if match['text'] and not level.is_list and not level.key:
            level.key = match['text'].strip('"\'')
        if match['space'] is None and match['mark'] not in tuple('}],:'):
            lines.setdefault(level.make_path(), line)
        _update_levels(levels, match['mark'])
        line += match[0].count('\n')
    return lines


def _update_levels(levels: list[_Level], mark: str | None) -> None:
    level = levels[-1]
    if mark in ('{', '['):
        path = level.make_path() if len(levels) > 1 else ''
        levels.append(_Level(path, mark == '['))
    elif mark in ('}', ']') and len(levels) > 1:
        levels.pop()
    elif mark == ',':
        level.index += 1
        level.key = ''


def find_line(lines: dict[str, int], path: str) -> int:
    """Returns the line of a field, or of its closest enclosing field."""
    while path and path not in lines:
        path = path[: max(path.rfind('.'), path.rfind('['), 0)]
    return lines.get(path, 1)


def find_open_comment(text: str) -> int | None:
    """Returns the line of an unterminated comment, or None."""
    for match in _TOKEN.finditer(text):
        if match['mark'] == '/' and text.startswith('/*', match.start()):
            return text.count('\n', 0, match.start()) + 1
    return None
