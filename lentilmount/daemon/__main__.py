"""Starts a daemon: `lentilmountd --settings FILE`."""

import argparse
import asyncio
import signal
import sys
from collections.abc import Callable

import logbook

from lentilmount import events
from lentilmount.daemon.lifecycle import Daemon, print_addresses
from lentilmount.daemon.reload import RELOADABLE_TIMES, ApplySetting, Reloader
from lentilmount.daemon.security import Security
from lentilmount.errors import LentilmountError
from lentilmount.logs import LEVELS, capture_libraries, make_handler
from lentilmount.settings import Settings
from lentilmount.settingsfile import read_settings
from lentilmount.status import ExitStatus

log = logbook.Logger('daemon')

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

EXAMPLE = """
example:
  lentilmountd --settings examples/lentilmountd.json --check-settings

signals:
  SIGTERM, SIGINT  stop gracefully: nothing in flight is cut off
  SIGHUP           read the settings again; the log tells what is in force
                   and what needs a restart
"""


def _handle_stop_signal(stop: asyncio.Event) -> None:
    if stop.is_set():
        log.info('Told to stop again; the daemon is already stopping.')
    stop.set()


def _ignore_stop_signals() -> None:
    # Closing the event loop removes its signal handlers. A second SIGTERM
    # would then have its default action, and the process would end by the
    # signal instead of with status 0.
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def set_log_level(handler: logbook.Handler, level: str) -> None:
    """Sets the minimum level of logged lines."""
    handler.level = LEVELS[level]
    events.log.level = LEVELS[level]


def make_reloader(
    daemon: Daemon, read: Callable[[], Settings], handler: logbook.Handler
) -> Reloader:
    """Builds the reloader that applies new settings to a running daemon."""

    def set_access(new: Settings) -> None:
        daemon.authenticator.replace(new.access)

    def set_level(new: Settings) -> None:
        set_log_level(handler, new.log_level)

    def set_duration(name: str) -> ApplySetting:
        def change(new: Settings) -> None:
            daemon.set_duration(name, getattr(new.times, name))

        return change

    changes: dict[str, ApplySetting] = {
        'access': set_access,
        'log_level': set_level,
    }
    changes |= {
        f'times.{name}': set_duration(name) for name in RELOADABLE_TIMES
    }
    return Reloader(
        daemon.settings, read, changes, daemon.security.reload_certificates
    )


async def run(
    settings: Settings,
    read: Callable[[], Settings],
    handler: logbook.Handler,
) -> ExitStatus:
    """Runs a daemon until it fails or receives a signal to stop.

    Args:
      settings: The daemon's settings.
      read: Reads the settings file again.
      handler: The handler of log lines; its level can change.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, _handle_stop_signal, stop)
    async with Daemon(settings) as daemon:
        reloader = make_reloader(daemon, read, handler)
        loop.add_signal_handler(signal.SIGHUP, reloader.reload)
        print_addresses(daemon)
        ends = [
            asyncio.create_task(event.wait()) for event in (stop, daemon.failed)
        ]
        await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        if daemon.failed.is_set():
            return ExitStatus.ERROR
        await daemon.stop()
    _ignore_stop_signals()
    return ExitStatus.OK


def main() -> int:
    """Parses the command line, reads the settings and runs the daemon."""
    parser = argparse.ArgumentParser(
        prog='lentilmountd',
        description='The daemon of an entry host.',
        epilog=EXAMPLE,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('--settings', required=True, metavar='FILE')
    parser.add_argument(
        '--check-settings',
        action='store_true',
        help='check the settings and end',
    )
    args = parser.parse_args()
    try:
        settings = read_settings(args.settings)
        Security(settings.tls)
        if args.check_settings:
            print(f'{args.settings}: valid')
            return ExitStatus.OK
        handler = make_handler(settings.log_format, settings.log_level)
        set_log_level(handler, settings.log_level)
        with handler, capture_libraries():
            return asyncio.run(
                run(settings, lambda: read_settings(args.settings), handler)
            )
    except LentilmountError as error:
        print(f'lentilmountd: {error.detail}', file=sys.stderr)
        return error.answer.exit_status


if __name__ == '__main__':
    sys.exit(main())
