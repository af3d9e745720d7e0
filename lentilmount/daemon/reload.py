"""Applies changed settings while the daemon runs."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Any

import attrs
import logbook

from lentilmount.errors import LentilmountError
from lentilmount.settings import Settings, TimeSettings

log = logbook.Logger('settings')

RELOADABLE_TIMES = ('drain', 'host_list', 'stop_limit')
"""Fields of the `times` settings that can change without a restart."""

ApplySetting = Callable[[Settings], None]


def list_differences(old: Settings, new: Settings) -> Iterator[str]:
    """Yields the names of fields that differ; those of `times` one by one."""
    for field in attrs.fields(Settings):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before == after:
            continue
        if field.name != 'times':
            yield field.name
            continue
        for time in attrs.fields(TimeSettings):
            if getattr(before, time.name) != getattr(after, time.name):
                yield f'times.{time.name}'


class Reloader:
    """Reloads settings and reports which changes need a restart.

    Args:
      settings: The settings in force.
      read: Reads the settings file again.
      changes: Functions that apply a changed field, by the field's name.
      reload_certificates: Loads the certificates again, from the same files.
    """

    def __init__(
        self,
        settings: Settings,
        read: Callable[[], Settings],
        changes: Mapping[str, ApplySetting],
        reload_certificates: Callable[[], None],
    ):
        self.settings = settings
        self._read = read
        self._changes = changes
        self._reload_certificates = reload_certificates

    def reload(self) -> tuple[str, ...]:
        """Reads the settings and applies them; invalid ones change nothing.

        Returns:
          The names of changed fields that need a restart.
        """
        try:
            new = self._read()
            differing = list(list_differences(self.settings, new))
            applied = [name for name in differing if name in self._changes]
            self._reload_certificates()
            for name in applied:
                self._changes[name](new)
        except LentilmountError as error:
            log.error('The settings stay as they were: {}', error.detail)
            return ()
        restart_needed = tuple(
            name for name in differing if name not in applied
        )
        self.settings = _merge(self.settings, new, applied)
        log.info(
            'Settings read; in force: {}.', ', '.join(applied) or 'no change'
        )
        if restart_needed:
            log.warning('Only a restart changes {}.', ', '.join(restart_needed))
        return restart_needed


def _merge(old: Settings, new: Settings, applied: list[str]) -> Settings:
    values: dict[str, Any] = {}
    times: dict[str, Any] = {}
    for name in applied:
        if name.startswith('times.'):
            time = name.removeprefix('times.')
            times[time] = getattr(new.times, time)
        else:
            values[name] = getattr(new, name)
    return attrs.evolve(old, times=attrs.evolve(old.times, **times), **values)
