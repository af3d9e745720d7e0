"""Starts the daemon on the outer platform: `python -m lentilmount.control`."""

from __future__ import annotations

import asyncio
import gc
import linecache
import signal
import sys
from collections.abc import Sequence

import logbook

from lentilmount.control.lifecycle import Daemon
from lentilmount.errors import LentilmountError
from lentilmount.logflow import NonBlockingHandler
from lentilmount.logs import capture_libraries
from lentilmount.platform.host_settings import (
    HostSettings,
    read_host_settings,
    read_path,
)
from lentilmount.policies import Policies
from lentilmount.status import ExitStatus

log = logbook.Logger('daemon')


async def run(settings: HostSettings, path: str, policies: Policies) -> None:
    """Runs a daemon until SIGTERM or SIGINT.

    Args:
      settings: Settings of the host.
      path: File that they were read from.
      policies: Optional policies of owners.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, settings, path)
    await Daemon(settings, policies).run(stop)
    log.info('Stopped.')


def _reload(settings: HostSettings, path: str) -> None:
    """Logs whether the settings file has changed; changes need a restart.

    A running daemon keeps its addresses and time limits: the platform restarts
    the process when it changes them.
    """
    try:
        changed = read_host_settings(path) != settings
    except LentilmountError as error:
        log.error('The changed settings are invalid: {}', error.detail)
        return
    log.info(
        'Read the settings again; what differs needs a restart.',
        extra={'differs': changed},
    )


def _find_policies_path(arguments: Sequence[str]) -> str | None:
    """Returns the path of the file with the policies, or None."""
    if not arguments:
        return None
    # Most daemons have no arguments, and the parser takes memory.
    import argparse  # noqa: PLC0415

    parser = argparse.ArgumentParser(
        prog='lentilmount.control', description=__doc__
    )
    parser.add_argument(
        '--policies',
        metavar='FILE',
        help='optional policies of owners (JSON with comments)',
    )
    path: str | None = parser.parse_args(arguments).policies
    return path


def _read_policies(path: str | None) -> Policies:
    if path is None:
        return Policies()
    # Most daemons have no such file, and the parser takes memory.
    from lentilmount.policyfile import read_policies  # noqa: PLC0415

    return read_policies(path)


def main() -> int:
    """Reads the settings and runs the daemon; returns the exit status."""
    policies_path = _find_policies_path(sys.argv[1:])
    handler = NonBlockingHandler(sys.stdout.fileno(), 'info')
    try:
        policies = _read_policies(policies_path)
        path = read_path()
        settings = read_host_settings(path)
        with handler, capture_libraries():
            # Sources of generated methods, which only tracebacks show.
            linecache.clearcache()
            # Objects imported so far are permanent; this keeps full collections
            # from visiting them.
            gc.freeze()
            asyncio.run(run(settings, path, policies))
    except LentilmountError as error:
        print(f'lentilmount: {error.detail}', file=sys.stderr)
        return error.answer.exit_status
    return ExitStatus.OK


if __name__ == '__main__':
    sys.exit(main())
