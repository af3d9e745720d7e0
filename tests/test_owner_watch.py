"""Takeover from an owner whose process was killed.

Load pattern: owners of hundreds of workers are killed while the fleet is nearly
full, so that each second without starts makes later work late.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import socket

import attrs
import pytest

from lentilmount.control import owner_watch
from lentilmount.control.candidates import STANDBYS, Candidates
from lentilmount.control.owner_watch import OwnerWatch, is_refused
from lentilmount.platform.host_settings import Capacity
from tests.helpers import run
from tests.platform_fixtures import open_platform, wait_for_line

SMALL = Capacity(0.5, 20.0)
LARGE = Capacity(2.1, 200.0)
HOSTS = {f'large-{n}': LARGE for n in range(18)} | {
    f'small-{n}': SMALL for n in range(79)
}
OWNER = 'large-7'


def make_candidates(host: str) -> Candidates:
    """Returns the candidates as a host of the deployment knows them."""
    candidates = Candidates(HOSTS[host], host=host)
    others = {name: c for name, c in HOSTS.items() if name != host}
    candidates.update(
        {f'{name}:1': capacity for name, capacity in others.items()},
        True,
        {name: f'{name}:1' for name in others},
    )
    return candidates


@attrs.define
class _Host:
    """Refuses connections or does not, as a test says.

    Attributes:
      refusals: Whether each connection is refused, the first one first; the
        last value holds for all later ones.
      addresses: Addresses of the connections.
    """

    refusals: list[bool]
    addresses: list[str] = attrs.Factory(list)

    async def connect(self, address: str) -> bool:
        """See `owner_watch.Connect`."""
        self.addresses.append(address)
        if len(self.refusals) > 1:
            return self.refusals.pop(0)
        return self.refusals[0]


def watch_once(host: str, holder: str, remote: _Host) -> OwnerWatch:
    """Returns the watch of a host after one check of a holder."""
    watch = OwnerWatch(make_candidates(host), remote.connect)
    watch.watch(holder)
    run(watch.check())
    return watch


def find_standbys() -> list[str]:
    """Returns the hosts that watch the owner."""
    return [h for h in HOSTS if make_candidates(h).is_standby(OWNER)]


def test_a_few_of_the_largest_hosts_watch_an_owner() -> None:
    """Connections of 97 hosts would take an owner's processor time."""
    standbys = find_standbys()
    assert len(standbys) == STANDBYS
    assert all(HOSTS[host] == LARGE for host in standbys)
    assert OWNER not in standbys


def test_standbys_of_different_owners_differ() -> None:
    """The same few hosts would watch all owners, and could all be lost."""
    owners = [host for host in HOSTS if HOSTS[host] == LARGE]
    watching = {
        host
        for owner in owners
        for host in owners
        if make_candidates(host).is_standby(owner)
    }
    assert len(watching) > 2 * STANDBYS


@pytest.mark.parametrize(
    ('refusals', 'is_ended'),
    [([True], True), ([False], False), ([True, False], False)],
)
def test_an_owner_has_ended_when_its_host_refuses_twice(
    refusals: list[bool], is_ended: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A killed owner was replaced only after its lease of 2 s."""
    monkeypatch.setattr(owner_watch, 'CONFIRM_SECONDS', 0.0)
    remote = _Host(refusals)
    watch = watch_once(find_standbys()[0], f'{OWNER}.0a', remote)
    assert watch.is_ended(f'{OWNER}.0a') is is_ended
    assert watch.has_ended.is_set() is is_ended
    # The next process of the host is another one.
    assert not watch.is_ended(f'{OWNER}.0b')
    assert set(remote.addresses) == {f'{OWNER}:1'}


@pytest.mark.parametrize('holder', ['', 'unknown.0a', 'nameless'])
def test_only_known_owners_are_watched(holder: str) -> None:
    remote = _Host([True])
    watch = watch_once(OWNER, holder, remote)
    assert remote.addresses == []
    assert not watch.is_ended(holder)


def test_a_host_that_does_not_answer_may_still_run_the_owner() -> None:
    """A cut or frozen host must keep its lease until that expires."""

    async def play() -> list[bool]:
        with socket.socket() as listener:
            listener.bind(('127.0.0.1', 0))
            address = f'127.0.0.1:{listener.getsockname()[1]}'
            refused = await is_refused(address)
            listener.listen()
            return [refused, await is_refused(address), await is_refused('?')]

    assert run(play()) == [True, False, False]


def test_a_killed_owner_is_replaced_before_its_lease_expires(
    tmp_path: pathlib.Path,
) -> None:
    """Each kill cost 2 s without starts, and later work was late for it."""

    async def play() -> None:
        async with open_platform(tmp_path) as platform:
            first = await platform.start('host-1')
            await wait_for_line(platform, first, 'Taken: desk.')
            second = await platform.start('host-2')
            # Both know each other now, and the second one the lease.
            await asyncio.sleep(2.0)
            first.process.send_signal(signal.SIGKILL)
            await wait_for_line(platform, second, 'Taken: desk.')
            messages = [
                line['message'] for line in second.select(part='campaign')
            ]
            assert messages[:2] == ['The owner has ended.', 'Taken: desk.']

    run(play())
