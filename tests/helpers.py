"""Helpers shared by several test modules."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar('T')


def run(work: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine and returns its result."""
    return asyncio.run(work)
