"""Taking new settings while the daemon runs."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Any

import attrs
import logbook

from lentilmount.errors import LentilmountError
from lentilmount.settings import Settings, TimeSettings

log = logbook.Logger('settings')

LIVE_TIMES = ('drain', 'host_list', 'stop_limit')
"""Times that are read each time they are needed."""

Change = Callable[[Settings], None]


def list_differences(old: Settings, new: Settings) -> Iterator[str]:
    """Yields the fields that differ; each time as a field of its own."""
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
    """Puts in force what may change, and tells what needs a restart.

    Args:
      read: Reads the settings again.
      changes: What puts a field in force, by the field's name.
      renew: Loads the certificates again, which keep their files' names.
    """

    def __init__(
        self,
        settings: Settings,
        read: Callable[[], Settings],
        changes: Mapping[str, Change],
        renew: Callable[[], None],
    ):
        self.settings = settings
        self._read = read
        self._changes = changes
        self._renew = renew

    def reload(self) -> tuple[str, ...]:
        """Reads the settings; wrong ones change nothing.

        Returns:
          The fields that differ and need a restart.
        """
        try:
            new = self._read()
            differing = list(list_differences(self.settings, new))
            live = [name for name in differing if name in self._changes]
            self._renew()
            for name in live:
                self._changes[name](new)
        except LentilmountError as error:
            log.error('The settings stay as they were: {}', error.detail)
            return ()
        late = tuple(name for name in differing if name not in live)
        self.settings = _merge(self.settings, new, live)
        log.info('Settings read; in force: {}.', ', '.join(live) or 'no change')
        if late:
            log.warning('Only a restart changes {}.', ', '.join(late))
        return late


def _merge(old: Settings, new: Settings, live: list[str]) -> Settings:
    values: dict[str, Any] = {}
    times: dict[str, Any] = {}
    for name in live:
        if name.startswith('times.'):
            time = name.removeprefix('times.')
            times[time] = getattr(new.times, time)
        else:
            values[name] = getattr(new, name)
    return attrs.evolve(old, times=attrs.evolve(old.times, **times), **values)
