"""Disables one safeguard of cordons at a time; the tests must detect it."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import pytest

from lentilmount.control.cordons import Cordons
from lentilmount.control.start_commands import StartCommands
from lentilmount.scheduling import views
from lentilmount.scheduling.model import Worker
from stand_ins.model_site import ModelSite
from tests import test_cordons
from tests.test_cordons import Play

Patch = pytest.MonkeyPatch
Check = Callable[[Patch], Any]


async def _ignore_rows(self: Cordons) -> None:
    self.as_of = self.monotonic()


async def _trust_first_read(self: Cordons) -> None:
    if math.isinf(self.as_of):
        await _REFRESH(self)
    self.as_of = self.monotonic()


_REFRESH = Cordons.refresh


def _ignore_rows_of_operators(patch: Patch) -> None:
    patch.setattr(Cordons, 'refresh', _ignore_rows)


def _read_rows_once(patch: Patch) -> None:
    patch.setattr(Cordons, 'refresh', _trust_first_read)


def _trust_old_rows(patch: Patch) -> None:
    patch.setattr(Cordons, 'valid_until', math.inf)


def _place_anywhere(patch: Patch) -> None:
    def is_open(worker: Worker, now: float) -> bool:
        return worker.is_registered and worker.reachable

    patch.setattr(views, 'is_open', is_open)


def _send_what_was_placed(patch: Patch) -> None:
    patch.setattr(Worker, 'accepts_starts', lambda worker, now: True)


def _repeat_starts(patch: Patch) -> None:
    patch.setattr(StartCommands, '_is_cordoned_since', lambda *arguments: False)


def _play(scene: Play) -> Check:
    def check(patch: Patch) -> None:
        site: ModelSite = test_cordons.play_site(scene)
        assert site.violations == []

    return check


def _call(test: Callable[..., None], *arguments: Any) -> Check:
    return lambda patch: test(*arguments)


MUTANTS: list[tuple[Callable[[Patch], None], Check]] = [
    (_ignore_rows_of_operators, _play(test_cordons.cordon_a_zone)),
    (_ignore_rows_of_operators, _play(test_cordons.replace_the_owner)),
    (_read_rows_once, _play(test_cordons.cordon_a_zone)),
    (
        _trust_old_rows,
        test_cordons.test_no_start_is_sent_before_the_cordons_are_known,
    ),
    (
        _trust_old_rows,
        test_cordons.test_no_start_is_sent_by_cordons_that_may_have_changed_too_long_ago,
    ),
    (
        _place_anywhere,
        _call(test_cordons.test_no_task_is_placed_in_a_cordoned_zone, {}),
    ),
    (_place_anywhere, _call(test_cordons.test_a_gang_is_not_split_by_a_cordon)),
    (
        _send_what_was_placed,
        _call(
            test_cordons.test_a_placed_start_is_not_sent_once_its_zone_is_cordoned
        ),
    ),
    (
        _repeat_starts,
        _call(
            test_cordons.test_an_unanswered_start_is_stopped_once_its_zone_is_cordoned
        ),
    ),
]


@pytest.mark.parametrize(('mutate', 'check'), MUTANTS)
def test_a_missing_safeguard_is_detected(
    monkeypatch: Patch, mutate: Callable[[Patch], None], check: Check
) -> None:
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        check(monkeypatch)
