"""Reads the operators' file of optional policies (JSON with comments)."""

from __future__ import annotations

import pathlib

from lentilmount.codec import structure
from lentilmount.errors import InvalidError, SettingsError
from lentilmount.policies import Policies
from lentilmount.settingsfile import make_settings_error, parse_document


def read_policies(path: str) -> Policies:
    """Reads and checks a file of policies.

    Raises:
      SettingsError: The file is invalid; lists every invalid field.
    """
    try:
        text = pathlib.Path(path).read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path}: {error}') from error
    return parse_policies(text, path)


def parse_policies(text: str, path: str = 'policies') -> Policies:
    """Parses and checks the text of a file; see `read_policies`."""
    document = parse_document(text, path)
    try:
        return structure(document, Policies)
    except InvalidError as error:
        raise make_settings_error(text, path, list(error.fields)) from error
