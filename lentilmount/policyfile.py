"""Reads the operators' file of optional policies (JSON with comments)."""

from __future__ import annotations

from lentilmount.codec import structure
from lentilmount.errors import InvalidError
from lentilmount.policies import Policies
from lentilmount.settingsfile import (
    make_settings_error,
    parse_document,
    read_text,
)


def read_policies(path: str) -> Policies:
    """Reads and checks a file of policies.

    Raises:
      SettingsError: The file is invalid; lists every invalid field.
    """
    return parse_policies(read_text(path), path)


def parse_policies(text: str, path: str = 'policies') -> Policies:
    """Parses and checks the text of a file; see `read_policies`."""
    document = parse_document(text, path)
    try:
        return structure(document, Policies)
    except InvalidError as error:
        raise make_settings_error(text, path, list(error.fields)) from error
