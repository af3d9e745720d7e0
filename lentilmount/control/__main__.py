"""Starts the daemon on the users' platform: `python -m lentilmount.control`."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys

import logbook

from lentilmount.control.lifecycle import Daemon
from lentilmount.errors import LentilmountError
from lentilmount.logflow import FlowHandler
from lentilmount.logs import capture_libraries
from lentilmount.platform.host_settings import (
    HostSettings,
    read_host_settings,
    read_path,
)
from lentilmount.status import ExitStatus

log = logbook.Logger('daemon')

COLLECTOR_THRESHOLDS = (10_000, 10, 10)
"""Objects, and younger passes, after which the collector of reference cycles
passes. By Python's own (700, 10, 10) an owner of 40,000 tasks had its whole
book walked once a second: 7 to 11 of 100 of its time, against 1 or 2."""


async def run(settings: HostSettings, path: str) -> None:
    """Runs a daemon until it is told to stop."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, settings, path)
    await Daemon(settings).run(stop)
    log.info('Stopped.')


def _reload(settings: HostSettings, path: str) -> None:
    """Tells what a changed settings file would change.

    Addresses and bounds of a running daemon stay as they are: the platform
    starts the process anew when they move.
    """
    try:
        changed = read_host_settings(path) != settings
    except LentilmountError as error:
        log.error('The changed settings are left out: {}', error.detail)
        return
    log.info(
        'Read the settings again; what differs needs a restart.',
        extra={'differs': changed},
    )


def main() -> int:
    """Reads the settings and runs."""
    handler = FlowHandler(sys.stdout.fileno(), 'info')
    try:
        path = read_path()
        settings = read_host_settings(path)
        with handler, capture_libraries():
            # What is imported by now stays for good; without this each full
            # collection walks it all again.
            gc.freeze()
            gc.set_threshold(*COLLECTOR_THRESHOLDS)
            asyncio.run(run(settings, path))
    except LentilmountError as error:
        print(f'lentilmount: {error.detail}', file=sys.stderr)
        return error.answer.exit_status
    return ExitStatus.OK


if __name__ == '__main__':
    sys.exit(main())
