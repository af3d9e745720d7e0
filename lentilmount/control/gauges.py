"""Updates the gauges of an owner: tasks, workers and tail latency."""

from __future__ import annotations

import collections

from lentilmount.control.metrics import ControlMetrics
from lentilmount.scheduling.cluster import ClusterState


def refresh_gauges(cluster: ClusterState, metrics: ControlMetrics) -> None:
    """Sets the gauges from the current state of tasks and workers."""
    waiting: collections.Counter[str] = collections.Counter()
    for task in cluster.ready.values():
        waiting[str(task.job.spec.queue.priority)] += 1
    held = sum(map(cluster.occurrences.count_held, cluster.jobs.values()))
    workers: collections.Counter[str] = collections.Counter()
    cordoned: collections.Counter[str] = collections.Counter()
    tails: dict[str, float] = {}
    running = finished_runs = 0
    for worker in cluster.workers.values():
        workers['yes' if worker.reachable else 'no'] += 1
        cordoned[worker.entry.zone] += worker.entry.is_cordoned
        running += len(worker.tasks)
        finished_runs += len(worker.finished_runs)
        for task in worker.tasks.values():
            if task.is_serving and task.usage is not None:
                image = task.spec.image
                ratio = task.usage / task.spec.target_ms
                tails[image] = max(tails.get(image, 0.0), ratio)
    for name, values, label in (
        ('lentilmount_waiting_tasks', waiting, 'priority'),
        ('lentilmount_held_occurrences', {'': held}, ''),
        ('lentilmount_workers', workers, 'answers'),
        ('lentilmount_cordoned_workers', cordoned, 'zone'),
        ('lentilmount_running_tasks', {'': running}, ''),
        ('lentilmount_finished_runs', {'': finished_runs}, ''),
        ('lentilmount_tail_ratio', tails, 'image'),
    ):
        metrics.set_gauge(name, values, label)
