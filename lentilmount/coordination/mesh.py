"""Which members exchange heartbeats straight: all within a zone, few between.

A full mesh costs each process a message for each other one. Within an
availability zone it is worth that, as ownership is decided there and silence
has to be noticed fast. Between two zones a few links carry the beats of all.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import xxhash

from lentilmount.coordination.membership import Member, Membership


def _rank(members: Iterable[Member], key: str) -> list[Member]:
    """Orders by rendezvous hash (Thaler and Ravishankar, 1996)."""
    return sorted(
        members,
        key=lambda m: xxhash.xxh64_intdigest(f'{key}\0{m.name}'.encode()),
    )


def choose_peers(membership: Membership, links: int) -> list[Member]:
    """Returns the members that this process keeps a stream with.

    Args:
      membership: What this process knows.
      links: How many streams join two zones.
    """
    me = membership.local_member
    known = membership.list_known()
    partners = [member for member in known if member.zone == me.zone]
    for zone in sorted({m.zone for m in known} - {me.zone}):
        remote_members = [member for member in known if member.zone == zone]
        partners += _choose_remote(membership, remote_members, links)
    return partners


def _choose_remote(
    membership: Membership, remote_members: Sequence[Member], links: int
) -> list[Member]:
    me = membership.local_member
    up = [member for member in remote_members if membership.is_up(member.name)]
    if not up:
        # A zone of which nothing is heard may be cut off; whichever of its
        # members answers first brings the others.
        return list(remote_members)
    key = '/'.join(sorted((me.zone, up[0].zone)))
    here = [m for m in membership.list_known() if m.zone == me.zone]
    near = [m for m in here if membership.is_up(m.name)]
    ours, theirs = _rank([me, *near], key), _rank(up, key)
    return [
        theirs[number % len(theirs)]
        for number in range(links)
        if ours[number % len(ours)] is me
    ]
