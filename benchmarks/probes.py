"""What a process costs, as the operating system counts it."""

from __future__ import annotations

import os
import pathlib
import statistics
import time
from collections.abc import Sequence

import attrs

TICKS = os.sysconf('SC_CLK_TCK')
CPU_FIELDS = slice(11, 13)
"""User and system time, counted after the command's closing bracket."""


def read_cpu(pid: int) -> float:
    """Returns the processor seconds that a process has used."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return sum(map(int, fields[CPU_FIELDS])) / TICKS


def read_memory(pid: int) -> float:
    """Returns a process's resident memory in MiB."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    return 0.0


def read_loopback() -> int:
    """Returns the bytes that every process here sent over loopback."""
    for line in pathlib.Path('/proc/net/dev').read_text().splitlines():
        name, _, counts = line.partition(':')
        if name.strip() == 'lo':
            return int(counts.split()[0])
    return 0


@attrs.frozen
class Cost:
    """What processes cost over a while.

    Attributes:
      cores: Processor time, as a share of one core, of each process.
      memory_mb: Resident memory at the end, of each process.
      seconds: How long was measured.
    """

    cores: tuple[float, ...]
    memory_mb: tuple[float, ...]
    seconds: float


class Probe:
    """Measures processes from its creation on."""

    def __init__(self, pids: Sequence[int]):
        self._pids = tuple(pids)
        self._began = time.monotonic()
        self._before = [read_cpu(pid) for pid in self._pids]

    def read(self) -> Cost:
        """Returns what the processes cost so far."""
        seconds = time.monotonic() - self._began
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
    """A straight line through measurements.

    Attributes:
      each: What one more costs.
      base: What none costs.
      fit: Correlation, 1 for points on a line.
    """

    each: float
    base: float
    fit: float


def fit_slope(sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """Fits a line by least squares; needs three sizes or more."""
    line = statistics.linear_regression(sizes, values)
    spread = len(set(values)) > 1
    fit = statistics.correlation(sizes, values) if spread else 1.0
    return Slope(line.slope, line.intercept, fit)
