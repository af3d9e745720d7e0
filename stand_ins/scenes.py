"""The two deployments of the brief, as the demo plays them."""

from __future__ import annotations

import attrs

from lentilmount.resources import Room


@attrs.frozen
class Scene:
    """One deployment of the brief.

    Attributes:
      name: The file of its example.
      zones: Its availability zones.
      workers: How many workers it has.
      per_rack: How many to a rack.
      capacity: What each has.
      service: The service, as team/name.
      target_ms: Its tail target.
      job_team: The team of its jobs.
      job_class: The class of its jobs.
    """

    name: str
    zones: tuple[str, ...]
    workers: int
    per_rack: int
    capacity: Room
    service: str
    target_ms: float
    job_team: str
    job_class: str


NILEWAVE = Scene(
    'nilewave',
    ('alex-a', 'alex-b', 'cairo-a', 'port-said'),
    34,
    8,
    Room(32.0, 125 * 1024, 0),
    'nilewave-desk/airtime-desk',
    60.0,
    'nilewave-billing',
    'voyage-billing',
)
WSPOLNOTA = Scene(
    'wspolnota',
    ('mazowsze', 'lodz', 'kujawy', 'wielkopolska'),
    24,
    6,
    Room(16.0, 60 * 1024, 0),
    'doradcy-lodz/raport-polowy',
    150.0,
    'agro-kujawy',
    'season-summary',
)
