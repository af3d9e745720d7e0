"""Runs the platform's stand-ins: `python -m stand_ins FILE`.

FILE holds the `PlatformOptions` as JSON; `-` reads them from the input.
"""

import argparse
import asyncio
import pathlib
import sys

from lentilmount.codec import decode
from stand_ins.platform import PlatformOptions, run_platform


def main() -> None:
    """Reads the options and runs the platform."""
    parser = argparse.ArgumentParser(prog='stand_ins', description=__doc__)
    parser.add_argument('file', help='options as JSON, or -')
    args = parser.parse_args()
    data = (
        sys.stdin.buffer.read()
        if args.file == '-'
        else pathlib.Path(args.file).read_bytes()
    )
    try:
        asyncio.run(run_platform(decode(data, PlatformOptions)))
    except KeyboardInterrupt:
        return


if __name__ == '__main__':
    main()
