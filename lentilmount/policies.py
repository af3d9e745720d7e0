"""Optional policies of a service's owner.

A policy is off unless the operators' file turns it on; see `policyfile`.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class AdmissionPolicy:
    """Refusal of jobs at arrival that cannot be served in time.

    Attributes:
      useful_multiple: Multiple of its objective after which the completion of a
        job is of no use to its caller. A job that is expected to take longer is
        refused.
      max_age_seconds: Oldest estimate of the waiting time by which a daemon
        refuses jobs; by an older one it accepts them all.
      weights: Share of the capacity by queue, relative to that of a queue that
        is not listed, which is 1. What a queue leaves unused goes to the
        others.
    """

    useful_multiple: float = attrs.field(
        default=1.0, validator=attrs.validators.ge(1)
    )
    max_age_seconds: float = attrs.field(
        default=3.0, validator=attrs.validators.gt(0)
    )
    weights: dict[str, float] = attrs.field(
        factory=dict,
        validator=attrs.validators.deep_mapping(
            attrs.validators.instance_of(str), attrs.validators.gt(0)
        ),
    )


@attrs.frozen
class CopyPolicy:
    """Second runs of tasks that take much longer than others of their step.

    Only tasks whose caller allows duplicates are copied.

    Attributes:
      slowness: Multiple of the usual run time after which a task is slow.
      max_share: Largest share of the cores of all workers for copies.
    """

    slowness: float = attrs.field(default=2.0, validator=attrs.validators.gt(1))
    max_share: float = attrs.field(
        default=0.02,
        validator=[attrs.validators.gt(0), attrs.validators.le(1)],
    )


@attrs.frozen
class DurationPolicy:
    """Objectives by how long steps take, in place of their estimates alone.

    Attributes:
      max_ratio: Largest ratio of the learned durations of a queue's steps to
        their estimates that counts.
    """

    max_ratio: float = attrs.field(
        default=3.0, validator=attrs.validators.gt(1)
    )


@attrs.frozen
class Policies:
    """The optional policies; None for one that is off.

    Attributes:
      admission: See `AdmissionPolicy`.
      copies: See `CopyPolicy`.
      durations: See `DurationPolicy`.
    """

    admission: AdmissionPolicy | None = None
    copies: CopyPolicy | None = None
    durations: DurationPolicy | None = None
