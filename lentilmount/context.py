"""The environment of a program run, which tests can replace."""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping
from typing import TextIO

import attrs


@attrs.define
class Environment:
    """Standard streams and environment variables of one program run.

    Attributes:
      stdin: Stream for input.
      stdout: Stream for results.
      stderr: Stream for errors and progress.
      variables: Environment variables.
    """

    stdin: TextIO = attrs.Factory(lambda: sys.stdin)
    stdout: TextIO = attrs.Factory(lambda: sys.stdout)
    stderr: TextIO = attrs.Factory(lambda: sys.stderr)
    variables: Mapping[str, str] = attrs.Factory(lambda: os.environ)

    @property
    def is_terminal(self) -> bool:
        """Whether stdout is a terminal."""
        return self.stdout.isatty()

    @property
    def has_colour(self) -> bool:
        """Whether the output may be coloured; see no-color.org."""
        return self.is_terminal and not self.variables.get('NO_COLOR')
