"""Which images the filling work is of."""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable

import attrs

from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import InterferenceModel

AVERAGE_SECONDS = 5.0
"""Time over which demand is averaged: about as long as a job of it lasts."""


@attrs.define
class BestEffortDemand:
    """Shares of the filling work that waits and runs, by image.

    Attributes:
      cluster: Where the work is.
      interference_model: Which images bear which.
    """

    cluster: ClusterState
    interference_model: InterferenceModel
    _cores: dict[str, float] = attrs.Factory(dict)
    _shares: dict[str, float] = attrs.Factory(dict)
    _noted_at: float = -math.inf

    def update(self, now: float) -> None:
        """Takes in what waits and runs now."""
        found = self._count_cores()
        weight = 1 - math.exp(-(now - self._noted_at) / AVERAGE_SECONDS)
        self._noted_at = now
        for image in {*found, *self._cores}:
            known = self._cores.get(image, 0.0)
            self._cores[image] = known + weight * (found[image] - known)
        total = sum(self._cores.values())
        if total > 0:
            self._shares = {i: c / total for i, c in self._cores.items()}

    def _count_cores(self) -> collections.defaultdict[str, float]:
        found: collections.defaultdict[str, float]
        found = collections.defaultdict(float)
        tasks = list(self.cluster.ready.values())
        for worker in self.cluster.workers.values():
            tasks += worker.tasks.values()
        for task in tasks:
            if task.spec.fills:
                found[task.spec.image] += task.spec.demand.cores
        return found

    def measure_borne(self, serving: Iterable[str]) -> float:
        """Returns the share of the filling work that images bear, 0 to 1.

        Args:
          serving: The images that serve on a worker.
        """
        images = list(serving)
        return sum(
            share * self.interference_model.measure_tolerance(images, image)
            for image, share in self._shares.items()
        )
