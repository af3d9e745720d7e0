"""Keys of the rows in the table service.

All rows of a service share one partition: a transaction cannot span partitions,
and the writes of an owner are conditional on its lease.
"""

from __future__ import annotations

from lentilmount.coordination.table import Key
from lentilmount.platform.store import make_partition

JOBS_TABLE = 'jobs'
STATES_TABLE = 'states'
OWNERS_TABLE = 'owners'
COUNTS_TABLE = 'counts'
DAEMONS_TABLE = 'daemons'

CANCEL_SUFFIX = '~cancel'
"""Appended to a job's key for its cancellation, so that the owner's feed
returns both."""


def make_job_key(service: str, job_id: str) -> Key:
    """Returns the key of an accepted job."""
    return Key(make_partition(JOBS_TABLE, service), job_id)


def make_cancel_key(service: str, job_id: str) -> Key:
    """Returns the key of a job's cancellation."""
    return make_job_key(service, job_id + CANCEL_SUFFIX)


def is_cancel_key(key: Key) -> bool:
    """Returns whether a key is that of a cancellation."""
    return key.sort.endswith(CANCEL_SUFFIX)


def make_state_key(service: str, job_id: str) -> Key:
    """Returns the key of a job's state, which its owner writes."""
    return Key(make_partition(STATES_TABLE, service), job_id)


def make_owner_key(service: str) -> Key:
    """Returns the key of the lease on a service."""
    return Key(make_partition(OWNERS_TABLE, service), 'owner')


def make_counts_key(service: str) -> Key:
    """Returns the key of the counts of pending jobs."""
    return Key(make_partition(COUNTS_TABLE, service), 'pending')


def make_model_key(service: str) -> Key:
    """Returns the key of an owner's interference model."""
    return Key(make_partition(COUNTS_TABLE, service), 'model')


def make_daemon_key(name: str) -> Key:
    """Returns the key of a daemon's announcement."""
    return Key(make_partition(DAEMONS_TABLE), name)
