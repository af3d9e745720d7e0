"""Measures CPU time, memory and loopback traffic of processes in /proc."""

from __future__ import annotations

import os
import pathlib
import statistics
import time
from collections.abc import Sequence

import attrs

CLOCK_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
CPU_FIELDS = slice(11, 13)
"""Fields of /proc/PID/stat with user and system time, counted from the
closing bracket of the command name."""


def read_cpu(pid: int) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return sum(map(int, fields[CPU_FIELDS])) / CLOCK_TICKS_PER_SECOND


def read_memory(pid: int) -> float:
    """Returns the resident memory of a process in MiB."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    return 0.0


def read_loopback() -> int:
    """Returns the bytes sent over loopback by all processes of this host."""
    for line in pathlib.Path('/proc/net/dev').read_text().splitlines():
        name, _, counts = line.partition(':')
        if name.strip() == 'lo':
            return int(counts.split()[0])
    return 0


@attrs.frozen
class Cost:
    """Resource usage of processes over a period.

    Attributes:
      cores: CPU usage of each process, as a share of one core.
      memory_mb: Resident memory of each process at the end, in MiB.
      seconds: Length of the period.
    """

    cores: tuple[float, ...]
    memory_mb: tuple[float, ...]
    seconds: float


class Probe:
    """Measures the resource usage of processes since its creation."""

    def __init__(self, pids: Sequence[int]):
        self._pids = tuple(pids)
        self._started_at = time.monotonic()
        self._before = [read_cpu(pid) for pid in self._pids]

    def read(self) -> Cost:
        """Returns the resource usage since the creation of the probe."""
        seconds = time.monotonic() - self._started_at
        used = [
            read_cpu(pid) - before
            for pid, before in zip(self._pids, self._before, strict=True)
        ]
        return Cost(
            tuple(cpu / seconds for cpu in used),
            tuple(read_memory(pid) for pid in self._pids),
            seconds,
        )


@attrs.frozen
class Slope:
    """A straight line fitted to measurements.

    Attributes:
      per_unit: Slope: cost of each additional unit.
      base: Intercept: cost without any unit.
      correlation: Correlation coefficient; 1 if all points are on the line.
    """

    per_unit: float
    base: float
    correlation: float


def fit_slope(sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """Fits a line by least squares; pass at least three sizes."""
    line = statistics.linear_regression(sizes, values)
    spread = len(set(values)) > 1
    fit = statistics.correlation(sizes, values) if spread else 1.0
    return Slope(line.slope, line.intercept, fit)
