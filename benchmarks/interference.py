"""Runs the interference policy on emulated deployments with several seeds."""

from __future__ import annotations

import concurrent.futures
import statistics
import sys

from benchmarks.emulated import Load, Outcome
from benchmarks.emulation import Emulation

LOADS = {
    'large': Load(),
    'small': Load(
        workers=24,
        serving_jobs=18,
        cores=16.0,
        best_effort_per_second=3.1,
        swing_seconds=20.0,
    ),
    'full': Load(
        workers=24,
        serving_jobs=23,
        cores=16.0,
        best_effort_per_second=3.7,
        other_per_second=1.0,
        swing_seconds=20.0,
    ),
}
"""Normal load of both deployments, and one with fully used workers."""


def main() -> None:
    """Prints the mean outcome of each load over the seeds."""
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 4)
    with concurrent.futures.ProcessPoolExecutor() as pool:
        runs = {
            name: list(pool.map(run_seed, [load] * len(seeds), seeds))
            for name, load in LOADS.items()
        }
    for name, outcomes in runs.items():
        filling = statistics.mean(o.filling for o in outcomes)
        serving = statistics.mean(o.serving for o in outcomes)
        known = statistics.median(o.known_after for o in outcomes)
        harm_periods = sum(o.harm_periods for o in outcomes)
        moves = sum(o.moves for o in outcomes)
        print(
            f'{name}: filling {filling:.3f}, serving {serving:.3f}, '
            f'harms {harm_periods}, moves {moves}, known after {known:.1f} s'
        )


def run_seed(load: Load, seed: int) -> Outcome:
    """Runs the emulation of a load with one seed."""
    return Emulation(load, seed).run()


if __name__ == '__main__':
    main()
