"""Loads the modules of an owner, which a daemon that owns nothing does without.

Load pattern: dozens of daemons and one owner. The modules of an owner take a
tenth of the memory of a daemon; all but a few daemons never need them.
"""

from __future__ import annotations

import gc
import importlib
import sys
import time

import logbook

log = logbook.Logger('daemon')

OWNER_MODULE = 'lentilmount.control.owner'

GC_THRESHOLDS = (10_000, 10, 10)
"""Thresholds of Python's garbage collector. With its defaults (700, 10, 10) an
owner of 40,000 tasks spent 7 to 11 % of its time on a full collection every
second, against 1 to 2 % with these."""


def is_owner_loaded() -> bool:
    """Returns whether the modules of an owner are loaded."""
    return OWNER_MODULE in sys.modules


def load_owner() -> float:
    """Loads the modules of an owner, if they are not loaded yet.

    Returns:
      Seconds that it took.
    """
    if is_owner_loaded():
        return 0.0
    began_at = time.monotonic()
    importlib.import_module(OWNER_MODULE)
    # As at the start of the daemon: full collections need not visit them.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    took = time.monotonic() - began_at
    log.info('Loaded the owner.', extra={'took': round(took, 3)})
    return took
