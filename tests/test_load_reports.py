"""Load reports that are relayed between daemons.

Load pattern: the load of daemons changes between two heartbeats, while some
links are slow or cut, so copies of different age meet at one daemon.
"""

from __future__ import annotations

from collections.abc import Iterable

from lentilmount.daemon.gossip import Gossip
from lentilmount.routing.leaving import LeavingMarks
from lentilmount.routing.loads import (
    STALE_SECONDS,
    LoadReport,
    PeerLoads,
    pack_counts,
)
from lentilmount.routing.pools import Pools
from lentilmount.wire import peer_pb2

SERVICE = 'desk/quota'
HEARTBEAT_SECONDS = 0.5


class Scene:
    """Daemons that send each other their load reports.

    Attributes:
      now: Monotonic time in seconds.
      own: Requests in flight at replica 0, by daemon.
    """

    def __init__(self, *names: str) -> None:
        self.now = 1000.0
        self.own = dict.fromkeys(names, 0)
        self._peer_loads = {name: PeerLoads(name, name[0]) for name in names}

    def send(self, sender: str, receiver: str) -> None:
        """Sends the reports of one daemon to another."""
        reports = self.list_reports(sender, receiver)
        self._peer_loads[receiver].update(reports, self.now)

    def list_reports(self, sender: str, receiver: str) -> list[LoadReport]:
        own = {SERVICE: pack_counts({0: self.own[sender]})}
        sender_loads = self._peer_loads[sender]
        return sender_loads.list_reports_for(receiver[0], own, self.now)

    def get_others(self, name: str) -> int:
        """Returns the load of all other daemons that one knows of."""
        counts = self._peer_loads[name].sum_others(SERVICE, self.now)
        return counts[0] if counts else 0


def test_the_load_of_a_zone_that_is_cut_off_expires() -> None:
    """Two daemons sent each other the load of a lost zone for ever."""
    scene = Scene('a0', 'b0', 'b1')
    scene.own['a0'] = 7
    scene.send('a0', 'b0')
    for _ in range(round(2 * STALE_SECONDS / HEARTBEAT_SECONDS)):
        scene.send('b0', 'b1')
        scene.send('b1', 'b0')
        scene.now += HEARTBEAT_SECONDS
    assert scene.get_others('b0') == scene.get_others('b1') == 0


def test_an_older_total_does_not_replace_the_reports_of_another_zone() -> None:
    """A daemon of the own zone hid the newer load of another zone."""
    scene = Scene('a0', 'b0', 'b1')
    scene.own['a0'] = 7
    scene.send('a0', 'b0')
    scene.send('b0', 'b1')
    scene.now += HEARTBEAT_SECONDS
    scene.own['a0'] = 9
    scene.send('a0', 'b0')
    scene.send('b1', 'b0')
    assert scene.get_others('b0') == 9


def test_an_older_total_does_not_replace_a_newer_one() -> None:
    """Two daemons with streams to another zone sent totals of unequal age."""
    scene = Scene('a0', 'b0', 'b1', 'b2')
    scene.own['a0'] = 7
    scene.send('a0', 'b0')
    scene.now += HEARTBEAT_SECONDS
    scene.own['a0'] = 9
    scene.send('a0', 'b2')
    scene.send('b2', 'b1')
    scene.send('b0', 'b1')
    assert scene.get_others('b1') == 9


def test_an_older_copy_does_not_replace_the_report_of_a_daemon() -> None:
    """A daemon's load was taken from a copy that another one had relayed."""
    scene = Scene('a0', 'a1', 'b0')
    scene.own['a0'] = 7
    scene.send('a0', 'a1')
    scene.now += HEARTBEAT_SECONDS
    scene.own['a0'] = 9
    scene.send('a0', 'b0')
    scene.send('a1', 'b0')
    assert scene.get_others('b0') == 9


def test_a_total_is_as_new_as_its_newest_part() -> None:
    """The load of a zone expired as one of its daemons had been stopped."""
    scene = Scene('a0', 'a1', 'b0', 'b1')
    scene.own |= {'a0': 7, 'a1': 5}
    scene.send('a1', 'b0')
    scene.now += STALE_SECONDS - 0.1
    scene.send('a0', 'b0')
    scene.send('b0', 'b1')
    scene.now += HEARTBEAT_SECONDS
    assert scene.get_others('b1') == 12
    scene.send('b0', 'b1')
    assert scene.get_others('b1') == 7


def test_the_load_of_each_daemon_counts_once() -> None:
    """A daemon that is reported by itself and by another counted twice."""
    scene = Scene('a0', 'a1', 'b0', 'b1')
    scene.own |= {'a0': 7, 'a1': 5}
    for sender, receiver in (
        *(('a0', 'a1'), ('a1', 'a0'), ('a0', 'b0'), ('a1', 'b0')),
        *(('b0', 'b1'), ('a0', 'b1'), ('b1', 'b0')),
    ):
        scene.send(sender, receiver)
    assert scene.get_others('b0') == scene.get_others('b1') == 12


def test_reports_of_the_own_daemon_and_zone_are_ignored() -> None:
    """A daemon counted its own requests again, as a peer returned them."""
    peer_loads = PeerLoads('b0', 'b')
    sources = ('b0', 'zone/b', 'zone/b/b0', 'zone/b/b1')
    reports = [LoadReport(source, SERVICE, b'\x07') for source in sources]
    peer_loads.update(reports, 1000.0)
    assert peer_loads.sum_others(SERVICE, 1000.0) == b''


class _RecordingPools(Pools):
    """Sends given reports, and keeps those that arrive."""

    def __init__(self, reports: list[LoadReport]) -> None:
        self.marks = LeavingMarks()
        self.reports = reports

    def list_loads(self, zone: str) -> list[LoadReport]:
        """See `Pools`."""
        return self.reports

    def update_peer_loads(self, reports: Iterable[LoadReport]) -> None:
        """See `Pools`."""
        self.reports = list(reports)


def test_a_heartbeat_carries_the_age_of_a_report() -> None:
    """Relayed reports became new again with each heartbeat."""
    sent = [
        LoadReport('b0', SERVICE, b'\x07'),
        LoadReport('zone/a', SERVICE, b'\x09', 1.25),
    ]
    message = peer_pb2.Heartbeat()
    Gossip(_RecordingPools(sent)).write(message, 'b', set())
    received = _RecordingPools([])
    encoded = message.SerializeToString()
    Gossip(received).read(peer_pb2.Heartbeat.FromString(encoded))
    assert received.reports == sent
