"""Exit statuses of the daemon and the command-line tool."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of a process."""

    OK = 0
    ERROR = 1
    USAGE = 2
    INVALID = 3
    NOT_FOUND = 4
    CONFLICT = 5
    FORBIDDEN = 6
    UNAVAILABLE = 7
    TIMEOUT = 8
    INTERRUPTED = 130
