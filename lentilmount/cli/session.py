"""What a command works with."""

from __future__ import annotations

import argparse
from typing import Any

import attrs

from lentilmount.cli.client import ApiClient, make_path
from lentilmount.context import Environment
from lentilmount.errors import NotFoundError


@attrs.frozen
class Session:
    """One run of one command."""

    client: ApiClient
    options: argparse.Namespace
    env: Environment

    def say(self, text: str) -> None:
        """Writes a line of the result."""
        print(text, file=self.env.stdout)

    async def find(self, kind: str, name: str) -> dict[str, Any] | None:
        """Returns a resource, or None."""
        try:
            found: dict[str, Any] = await self.client.call(
                'GET', make_path(kind, name)
            )
        except NotFoundError:
            return None
        return found
