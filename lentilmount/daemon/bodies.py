"""Limits on the size of request bodies, each and in total."""

from __future__ import annotations

import attrs

from lentilmount.errors import ErrorKind, LentilmountError

RETRY_AFTER_SECONDS = 1.0

BODY_LIMITS = 'body_limits'
"""Key of the application setting that holds its `BodyLimits`."""


@attrs.define
class BodyLimits:
    """Bounds the memory that request bodies take.

    Large bodies that arrive slowly on many connections, each within its own
    limit, could together exhaust the host's memory. So memory is reserved
    before a body is read, and a body for which too little is left is refused.

    Attributes:
      max_body_bytes: Maximum size of one body, in bytes.
      max_total_bytes: Maximum total of the reservations, in bytes.
      reserved_bytes: Total of the current reservations, in bytes.
    """

    max_body_bytes: int = 4 * 1024 * 1024
    max_total_bytes: int = 16 * 1024 * 1024
    reserved_bytes: int = 0

    def reserve(self, size: int) -> None:
        """Reserves memory for a body of `size` bytes.

        Raises:
          LentilmountError: Of kind TOO_LARGE or OVERLOADED.
        """
        if size > self.max_body_bytes:
            raise LentilmountError(
                f'the body has {size} bytes; '
                f'at most {self.max_body_bytes} are taken',
                kind=ErrorKind.TOO_LARGE,
            )
        if self.reserved_bytes + size > self.max_total_bytes:
            raise LentilmountError(
                'too many large bodies are on their way',
                kind=ErrorKind.OVERLOADED,
                retry_after=RETRY_AFTER_SECONDS,
            )
        self.reserved_bytes += size

    def release(self, size: int) -> None:
        """Releases memory reserved for a body."""
        self.reserved_bytes -= size
