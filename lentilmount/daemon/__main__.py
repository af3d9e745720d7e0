"""Starts a daemon: `lentilmountd --settings FILE`."""

import argparse
import asyncio
import signal
import sys

from lentilmount.daemon.lifecycle import Daemon, print_addresses
from lentilmount.errors import LentilmountError
from lentilmount.logs import make_handler
from lentilmount.settings import Settings, read_settings
from lentilmount.status import ExitStatus


async def run(settings: Settings) -> ExitStatus:
    """Runs a daemon until it is told to stop."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with Daemon(settings) as daemon:
        print_addresses(daemon)
        ends = [
            asyncio.create_task(event.wait()) for event in (stop, daemon.failed)
        ]
        await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        if daemon.failed.is_set():
            return ExitStatus.ERROR
        await daemon.stop()
    return ExitStatus.OK


def main() -> int:
    """Reads the settings and runs."""
    parser = argparse.ArgumentParser(
        prog='lentilmountd', description='The daemon of an entry host.'
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
        if args.check_settings:
            print(f'{args.settings}: valid')
            return ExitStatus.OK
        with make_handler(settings.log_format, settings.log_level):
            return asyncio.run(run(settings))
    except LentilmountError as error:
        print(f'lentilmountd: {error.detail}', file=sys.stderr)
        return error.answer.exit_status


if __name__ == '__main__':
    sys.exit(main())
