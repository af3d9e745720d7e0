"""The two deployments of the brief, as the demo runs them."""

from __future__ import annotations

import attrs

from lentilmount.resources import Room


@attrs.frozen
class ExampleDeployment:
    """One deployment of the brief.

    Attributes:
      name: Name of its file in `examples`, without the suffix.
      zones: Availability zones.
      workers: Number of workers.
      per_rack: Number of workers per rack.
      capacity: Capacity of each worker.
      service: The service, as team/name.
      target_ms: Tail latency target of the service, in milliseconds.
      job_team: Team of the jobs.
      job_class: Class of the jobs.
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


NILEWAVE = ExampleDeployment(
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
WSPOLNOTA = ExampleDeployment(
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
