"""Finds connections that a test leaves open as its event loop is closed.

Such a connection raises an exception whenever it is collected, in the middle of
whatever runs then.
"""

from __future__ import annotations

import asyncio
import weakref
from typing import Any

import attrs


@attrs.define
class OpenConnections:
    """Records the connections that are opened as streams.

    Attributes:
      left: Connections that were left open. They are never collected, so that
        only the test that has left them fails.
    """

    left: list[asyncio.StreamWriter] = attrs.Factory(list)
    _loops: weakref.WeakKeyDictionary[
        asyncio.StreamWriter, asyncio.AbstractEventLoop
    ] = attrs.Factory(weakref.WeakKeyDictionary)

    def record(self) -> None:
        """Records all connections from now on."""
        create = asyncio.StreamWriter.__init__

        def create_and_add(
            writer: asyncio.StreamWriter, *args: Any, **kwargs: Any
        ) -> None:
            create(writer, *args, **kwargs)
            self._loops[writer] = asyncio.get_running_loop()

        asyncio.StreamWriter.__init__ = create_and_add  # type: ignore[method-assign, assignment]

    def take_left(self) -> list[str]:
        """Describes the connections left open since the last call."""
        left = [
            writer
            for writer, loop in list(self._loops.items())
            if loop.is_closed() and not writer.is_closing()
        ]
        for writer in left:
            del self._loops[writer]
        self.left += left
        return [repr(writer) for writer in left]
