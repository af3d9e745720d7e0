"""Assigns workers, service replicas and jobs to slices.

A slice is a subset of the workers of one availability zone, named zone/number.
At most one daemon at a time owns it, under a lease.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import xxhash


def hash_text(text: str) -> int:
    """Hashes a string to 64 bits, identically in every process."""
    digest: int = xxhash.xxh64_intdigest(text.encode())
    return digest


def list_slices(zones: Iterable[str], per_zone: int) -> list[str]:
    """Returns the names of all slices."""
    return [f'{zone}/{n}' for zone in sorted(zones) for n in range(per_zone)]


def get_zone(slice_name: str) -> str:
    """Returns the availability zone of a slice."""
    return slice_name.partition('/')[0]


def find_worker_slice(zone: str, worker: str, per_zone: int) -> str:
    """Returns the slice that a worker belongs to."""
    return f'{zone}/{hash_text(worker) % per_zone}'


def rank_by_hash(key: str, names: Iterable[str]) -> list[str]:
    """Orders names for a key by rendezvous hash, best first.

    Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for
    Rendezvous", 1996.
    """
    return sorted(
        names,
        key=lambda name: (hash_text(f'{key}\0{name}'), name),
        reverse=True,
    )


def find_replica_slice(index: int, slices: Sequence[str]) -> str:
    """Returns the slice that runs one replica of a service."""
    return slices[index % len(slices)]


def assign_evenly(keys: Iterable[str], names: Iterable[str]) -> dict[str, str]:
    """Assigns each key to a name; no name gets more than its even share.

    The even share is rounded up. Each key goes to its best name by rendezvous
    hash that is still below that, so most keys keep their name when a name is
    added or removed.

    Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with
    Bounded Loads", 2016, over rendezvous hashing.
    """
    keys, names = sorted(keys, key=hash_text), list(names)
    capacity = -(-len(keys) // len(names)) if names else 0
    counts = dict.fromkeys(names, 0)
    assigned = {}
    for key in keys:
        for name in rank_by_hash(key, names):
            if counts[name] < capacity:
                counts[name] += 1
                assigned[key] = name
                break
    return assigned
