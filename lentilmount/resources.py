"""The resource types of the API: their specs, phases and statuses."""

from __future__ import annotations

import enum
import re
from typing import Any

import attrs

API_VERSION = 'v1'
NAME_PATTERN = re.compile(r'[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?')


class Kind(enum.Enum):
    """The kinds of resource."""

    SERVICE = 'Service'
    JOB = 'Job'
    WORKER = 'Worker'
    TEAM = 'Team'
    UPSTREAM = 'Upstream'
    CONFIGURATION = 'Configuration'


class Phase(enum.Enum):
    """Lifecycle phase of a resource or task."""

    ACCEPTED = 'accepted'
    PENDING = 'pending'
    STARTING = 'starting'
    RUNNING = 'running'
    EVICTING = 'evicting'
    CANCELLING = 'cancelling'
    COMPLETED = 'completed'
    FAILED = 'failed'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'


FINAL_PHASES = frozenset(
    {Phase.COMPLETED, Phase.FAILED, Phase.REFUSED, Phase.CANCELLED}
)


class Urgency(enum.Enum):
    """How soon a job has to start."""

    URGENT = 'urgent'
    BATCH = 'batch'


def _check_team(
    _: object, attribute: attrs.Attribute[Any], value: object
) -> None:
    if value != '':
        _check_name(_, attribute, value)


def _check_name(
    _: object, attribute: attrs.Attribute[Any], value: object
) -> None:
    if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
        raise ValueError(
            f"'{attribute.name}' must be 1 to 63 of a-z, 0-9, - and ., "
            f'beginning and ending with a letter or digit, not {value!r}'
        )


def _positive(default: Any = attrs.NOTHING) -> Any:
    return attrs.field(default=default, validator=attrs.validators.gt(0))


def _not_negative(default: Any = attrs.NOTHING) -> Any:
    return attrs.field(default=default, validator=attrs.validators.ge(0))


@attrs.frozen
class Demand:
    """Resources that a task needs on its worker.

    Attributes:
      cores: CPU cores, may be fractional.
      memory_mb: Memory in MiB.
      accelerators: Whole accelerators.
    """

    cores: float = _positive()
    memory_mb: int = _positive()
    accelerators: int = _not_negative(0)

    def fits(self, free: Demand | Room) -> bool:
        """Returns whether the demand fits in the free resources."""
        return _is_within(self, free)


@attrs.frozen
class Room:
    """An amount of CPU, memory and accelerators; may be zero.

    Attributes:
      cores: CPU cores, may be fractional.
      memory_mb: Memory in MiB.
      accelerators: Whole accelerators.
    """

    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, other: Demand | Room) -> Room:
        """Returns the sum."""
        return Room(
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def subtract(self, other: Demand | Room) -> Room:
        """Returns the difference."""
        return Room(
            self.cores - other.cores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits(self, free: Demand | Room) -> bool:
        """Returns whether the amount fits in the free resources."""
        return _is_within(self, free)


def _is_within(amount: Demand | Room, free: Demand | Room) -> bool:
    return (
        amount.cores <= free.cores + 1e-9
        and amount.memory_mb <= free.memory_mb
        and amount.accelerators <= free.accelerators
    )


@attrs.frozen
class Metadata:
    """Identity and version of a resource.

    Attributes:
      team: Team that owns it; '' for resources of the platform.
      name: Name, unique within its kind and team.
      revision: Version of the resource; 0 before it is accepted.
    """

    name: str = attrs.field(validator=_check_name)
    team: str = attrs.field(default='', validator=_check_team)
    revision: int = _not_negative(0)


@attrs.frozen
class ServiceSpec:
    """A latency-critical service.

    Attributes:
      demand: Resources that each task needs.
      replicas: Number of tasks to keep running, over all availability zones.
      slots: Requests that a task runs concurrently.
      connections: Maximum connections to a task, over all entry hosts.
      target_ms: Target of the 99th percentile latency, in milliseconds.
      deadline_ms: Deadline of a request, in milliseconds.
      zones: Availability zones to spread over; all if empty.
      payload: Passed to the workers unchanged.
    """

    demand: Demand
    replicas: int = _positive()
    slots: int = _positive(8)
    connections: int = _positive(64)
    target_ms: float = _positive(100.0)
    deadline_ms: float = _positive(2000.0)
    zones: tuple[str, ...] = ()
    payload: str = ''


@attrs.frozen
class JobSpec:
    """A batch job: one task that must complete exactly once.

    Attributes:
      demand: Declared resources of the task.
      expected_seconds: Declared run time in seconds.
      job_class: Name shared by jobs that behave alike; usage is learned per
        class.
      urgency: Urgent jobs have precedence over batch jobs.
      payload: Passed to the worker unchanged.
      zone: Availability zone to run in; any if empty.
    """

    demand: Demand
    expected_seconds: float = _positive(60.0)
    job_class: str = 'default'
    urgency: Urgency = Urgency.BATCH
    payload: str = ''
    zone: str = ''


def _check_quota(_: object, __: object, quota: Room) -> None:
    # A `Room` may be negative while free resources are computed; a quota may
    # not.
    if min(quota.cores, quota.memory_mb, quota.accelerators) < 0:
        raise ValueError('must not be negative')


@attrs.frozen
class TeamSpec:
    """Quota, fair-share weight and request limit of a team.

    Attributes:
      quota: Maximum resources that its batch tasks may hold at once.
      weight: Weight in the fair share.
      requests_per_second: Limit of interactive requests; 0 for no limit.
    """

    quota: Room = attrs.field(
        default=Room(1e9, 2**40, 2**20), validator=_check_quota
    )
    weight: float = _positive(1.0)
    requests_per_second: float = _not_negative(0.0)


@attrs.frozen
class WorkerSpec:
    """Settings of a worker that operators may change.

    Attributes:
      cordoned: Whether the worker gets no new tasks.
      drain: Whether its running tasks are also moved to other workers.
    """

    cordoned: bool = False
    drain: bool = False


@attrs.frozen
class UpstreamSpec:
    """Settings of an upstream that operators may change.

    Attributes:
      drain: Whether the upstream gets no new requests.
    """

    drain: bool = False


@attrs.frozen
class ConfigurationSpec:
    """Cost weights and budgets of this deployment.

    Attributes:
      tail_weight: Cost weight of a service's tail latency.
      eviction_weight: Cost weight of an eviction.
      evictions_per_hour: Maximum evictions per hour and slice.
      hedge_share: Maximum hedges as a share of recent requests.
      retry_share: Maximum retries as a share of recent requests.
      spill_ms: Queueing cost in milliseconds above which another zone is used.
    """

    tail_weight: float = _not_negative(1.0)
    eviction_weight: float = _not_negative(1.0)
    evictions_per_hour: float = _not_negative(60.0)
    hedge_share: float = _not_negative(0.05)
    retry_share: float = _not_negative(0.1)
    spill_ms: float = _not_negative(3.0)


Spec = (
    ServiceSpec
    | JobSpec
    | TeamSpec
    | WorkerSpec
    | UpstreamSpec
    | ConfigurationSpec
)

SPECS: dict[Kind, type[Spec]] = {
    Kind.SERVICE: ServiceSpec,
    Kind.JOB: JobSpec,
    Kind.WORKER: WorkerSpec,
    Kind.TEAM: TeamSpec,
    Kind.UPSTREAM: UpstreamSpec,
    Kind.CONFIGURATION: ConfigurationSpec,
}


@attrs.frozen
class Condition:
    """An additional fact about a resource, with an optional reason."""

    name: str
    reason: str = ''


@attrs.frozen
class Status:
    """Observed state of a resource.

    Attributes:
      phase: Lifecycle phase.
      reason: Human-readable reason for the phase.
      attempt: Number of the current or last attempt.
      worker: Worker of the current or last attempt.
      evictions: Number of evictions so far.
      output: Name of the committed output.
      conditions: Additional facts.
    """

    phase: Phase = Phase.ACCEPTED
    reason: str = ''
    attempt: int = 0
    worker: str = ''
    evictions: int = 0
    output: str = ''
    conditions: tuple[Condition, ...] = ()


@attrs.frozen
class Resource:
    """A resource of any kind."""

    kind: Kind
    metadata: Metadata
    spec: Spec
    status: Status = Status()

    @property
    def path(self) -> str:
        """The path of the resource, kind/team/name."""
        return make_path(self.kind, self.metadata.team, self.metadata.name)


def make_path(kind: Kind, team: str, name: str) -> str:
    """Returns the path of a resource, kind/team/name."""
    return f'{kind.value}/{team}/{name}'
