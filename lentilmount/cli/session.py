"""Context of a command: API client, options and environment."""

from __future__ import annotations

import argparse
from typing import Any

import attrs

from lentilmount.cli.client import ApiClient, make_path
from lentilmount.context import Environment
from lentilmount.errors import NotFoundError


@attrs.frozen
class Session:
    """Everything that a command needs to run.

    Attributes:
      client: Client of the resource API.
      options: Parsed command line.
      env: Streams and environment variables.
    """

    client: ApiClient
    options: argparse.Namespace
    env: Environment

    def print(self, text: str) -> None:
        """Prints a line of the result to the output stream."""
        print(text, file=self.env.stdout)

    async def find(self, kind: str, name: str) -> dict[str, Any] | None:
        """Returns a resource, or None if it does not exist."""
        try:
            found: dict[str, Any] = await self.client.call(
                'GET', make_path(kind, name)
            )
        except NotFoundError:
            return None
        return found
