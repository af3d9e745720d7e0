"""Chooses the members that exchange heartbeats directly.

In a full mesh each process sends a message to each other one. This is used
within an availability zone, where ownership is decided and failures have to be
detected fast. Between two zones a few links carry the beats of all members.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import xxhash

from lentilmount.coordination.membership import Member, Membership


def _rank(members: Iterable[Member], key: str) -> list[Member]:
    """Sorts members by rendezvous hash (Thaler and Ravishankar, 1996)."""
    return sorted(
        members,
        key=lambda m: xxhash.xxh64_intdigest(f'{key}\0{m.name}'.encode()),
    )


def choose_peers(membership: Membership, links: int) -> list[Member]:
    """Returns the members with which this process keeps a heartbeat stream.

    Args:
      membership: Membership as seen by this process.
      links: Number of streams between two zones.
    """
    local_member = membership.local_member
    known = membership.list_known()
    peers = [member for member in known if member.zone == local_member.zone]
    for zone in sorted({m.zone for m in known} - {local_member.zone}):
        remote_members = [member for member in known if member.zone == zone]
        peers += _choose_remote(membership, remote_members, links)
    return peers


def _choose_remote(
    membership: Membership, remote_members: Sequence[Member], links: int
) -> list[Member]:
    local_member = membership.local_member
    remote_up = [
        member for member in remote_members if membership.is_up(member.name)
    ]
    if not remote_up:
        # A zone without any member up may be partitioned; the first of its
        # members that responds forwards the beats of the others.
        return list(remote_members)
    key = '/'.join(sorted((local_member.zone, remote_up[0].zone)))
    local_members = [
        m for m in membership.list_known() if m.zone == local_member.zone
    ]
    local_up = [m for m in local_members if membership.is_up(m.name)]
    ranked_local, ranked_remote = (
        _rank([local_member, *local_up], key),
        _rank(remote_up, key),
    )
    return [
        ranked_remote[index % len(ranked_remote)]
        for index in range(links)
        if ranked_local[index % len(ranked_local)] is local_member
    ]
