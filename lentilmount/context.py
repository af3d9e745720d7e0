"""What a program is given by its surroundings, so that tests can give it."""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping
from typing import TextIO

import attrs


@attrs.define
class Environment:
    """Streams, variables and terminal facts of one run of a program.

    Attributes:
      stdin: Where input is read.
      stdout: Where results go.
      stderr: Where errors and progress go.
      variables: Environment variables.
    """

    stdin: TextIO = attrs.Factory(lambda: sys.stdin)
    stdout: TextIO = attrs.Factory(lambda: sys.stdout)
    stderr: TextIO = attrs.Factory(lambda: sys.stderr)
    variables: Mapping[str, str] = attrs.Factory(lambda: os.environ)

    @property
    def is_terminal(self) -> bool:
        """Whether a person reads the output."""
        return self.stdout.isatty()

    @property
    def has_colour(self) -> bool:
        """Whether the output may be coloured; see no-color.org."""
        return self.is_terminal and not self.variables.get('NO_COLOR')
