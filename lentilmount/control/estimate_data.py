"""Encodes estimates of waits, which an owner publishes in its lease row."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from lentilmount.scheduling.admission import (
    Estimates,
    QueueEstimate,
    WorkKind,
)

WAITS = 'waits'
"""Key: estimates of the wait of new work, by queue and kind of work. A new
owner writes none at first."""


def encode_estimates(estimates: Estimates) -> dict[str, Any]:
    """Encodes estimates as further data of a lease row."""
    if not estimates:
        return {}
    return {
        WAITS: {
            queue: {
                kind.value: [
                    round(estimate.wait_seconds, 2),
                    round(estimate.rate, 3),
                ]
                for kind, estimate in by_kind.items()
            }
            for queue, by_kind in estimates.items()
        }
    }


def decode_estimates(data: Mapping[str, Any]) -> Estimates:
    """Decodes the estimates in the data of a lease row.

    Kinds and figures that only later versions write are passed over.
    """
    return {
        queue: {
            kind: QueueEstimate(*by_kind[kind.value][:2])
            for kind in WorkKind
            if kind.value in by_kind
        }
        for queue, by_kind in data.get(WAITS, {}).items()
    }
