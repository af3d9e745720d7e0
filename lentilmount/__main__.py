"""Starts the command-line tool."""

import sys

from lentilmount import core


def main() -> int:
    """Runs the tool with the command-line arguments of the process."""
    return core.main(sys.argv[1:])


if __name__ == '__main__':
    sys.exit(main())
