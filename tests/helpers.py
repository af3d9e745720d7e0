"""What several tests share."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar('T')


def run(work: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine to its end."""
    return asyncio.run(work)
