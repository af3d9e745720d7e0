"""Starts the soak: `python -m soak --seed N`."""

import sys

from soak import core


def main() -> int:
    """Runs the soak with the command-line arguments of the process."""
    return core.main(sys.argv[1:])


if __name__ == '__main__':
    sys.exit(main())
