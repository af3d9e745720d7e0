"""Demand of best-effort tasks by image."""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable

import attrs

from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import InterferenceModel

AVERAGING_SECONDS = 5.0
"""Time constant in seconds of the average demand: about the duration of a
best-effort job."""


@attrs.define
class BestEffortDemand:
    """Share of each image in the waiting and running best-effort tasks.

    Attributes:
      cluster: Cluster state that contains the tasks.
      interference_model: Learned interference between images.
    """

    cluster: ClusterState
    interference_model: InterferenceModel
    _cores: dict[str, float] = attrs.Factory(dict)
    _shares: dict[str, float] = attrs.Factory(dict)
    _updated_at: float = -math.inf

    def update(self, now: float) -> None:
        """Updates the average with the tasks that wait and run now."""
        found = self._count_cores()
        weight = 1 - math.exp(-(now - self._updated_at) / AVERAGING_SECONDS)
        self._updated_at = now
        for image in {*found, *self._cores}:
            average = self._cores.get(image, 0.0)
            self._cores[image] = average + weight * (found[image] - average)
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

    def measure_tolerated_share(self, serving_images: Iterable[str]) -> float:
        """Returns the share of the best-effort demand that images tolerate.

        Args:
          serving_images: Serving images on a worker.

        Returns:
          The share, from 0 to 1.
        """
        images = list(serving_images)
        return sum(
            share * self.interference_model.measure_tolerance(images, image)
            for image, share in self._shares.items()
        )
