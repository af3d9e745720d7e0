"""Settings files, reloads, log formats and token lookup."""

import io
import json
import logging
import pathlib
import subprocess
import sys
from typing import Any

import attrs
import json5
import logbook
import pytest

from lentilmount.access import Authenticator
from lentilmount.daemon.__main__ import make_reloader
from lentilmount.daemon.lifecycle import Daemon
from lentilmount.errors import AccessError, SettingsError
from lentilmount.logs import bound, capture_libraries, make_handler
from lentilmount.settings import AccessSettings, Settings
from lentilmount.settingsfile import parse_settings
from lentilmount.status import ExitStatus
from stand_ins.processes import hash_token

EXAMPLE = (
    pathlib.Path(__file__).parent.parent / 'examples' / 'lentilmountd.json'
)

GOOD = """{
  // An entry host.
  "name": "entry-0",
  "zone": "alex-a",
  "zones": ["alex-a"],
  "platform": {
    "table": "http://127.0.0.1:1",
    "objects": "http://127.0.0.1:2",
    "hosts": "http://127.0.0.1:3"
  },
  "times": {"poll": 0.5}
}"""


def test_comments_and_defaults() -> None:
    settings = parse_settings(GOOD)
    assert settings.times.poll == 0.5
    assert settings.entry_hosts == 8


def test_invalid_fields_are_reported_with_their_lines() -> None:
    text = GOOD.replace('"poll": 0.5', '"poll": -1').replace(
        '"http://127.0.0.1:2"', '7'
    )
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    found = {field.field: field.line for field in caught.value.fields}
    assert found == {'times.poll': 11, 'platform.objects': 8}


def test_all_invalid_fields_are_reported_together() -> None:
    text = """{
      "name": "", "zone": "q", "zones": ["a"], /* { "zone": */
      "platform": {"table": "x", "objects": 3, "extra": 1},
      "listen": {"callers": "0.0.0.0:3", "peers": "h:1"},
      'access': [{"name": "a", "sha256": "x", "team": "t", "verbs": ["no"]},
        {"name": 4}],
      tls: {peers: {certificate: "a", key: "b", minimum_version: "1.0"}},
      "times": {"poll": -1, "heartbeat": 5, "drain": NaN},
      "zones_": "a"
    }"""
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    found = [(f.line, f.field) for f in caught.value.fields]
    assert sorted(found) == [
        (2, 'name'),
        (2, 'zone'),
        (3, 'platform.extra'),
        (3, 'platform.hosts'),
        (3, 'platform.objects'),
        (3, 'platform.table'),
        (4, 'listen.callers'),
        (4, 'listen.peers'),
        (5, 'access[0].sha256'),
        (5, 'access[0].verbs'),
        (6, 'access[1].name'),
        (6, 'access[1].sha256'),
        (6, 'access[1].team'),
        (6, 'access[1].verbs'),
        (7, 'tls.peers'),
        (7, 'tls.peers.minimum_version'),
        (8, 'times.drain'),
        (8, 'times.heartbeat'),
        (8, 'times.poll'),
        (9, 'zones_'),
    ]


@pytest.mark.parametrize(
    ('text', 'told'),
    [
        (GOOD + '/* open', 'line 12: a comment begins with /* and never ends'),
        ('', 'Empty'),
        ('{"name": ', 'end of input'),
        ('[]', 'must be an object'),
        (GOOD.replace('"zone":', '"name": "x", "zone":'), 'Duplicate key'),
    ],
)
def test_unparsable_settings_files(text: str, told: str) -> None:
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    assert told in str(caught.value)


def test_plaintext_needs_loopback_or_explicit_permission() -> None:
    wide = GOOD.replace(
        '"times"', '"listen": {"metrics": "0.0.0.0:1"}, "times"'
    )
    with pytest.raises(SettingsError) as caught:
        parse_settings(wide)
    assert 'set tls.metrics, a loopback address' in str(caught.value)
    allowed = wide.replace('"times"', '"allow_plaintext": true, "times"')
    assert parse_settings(allowed).listen.metrics == '0.0.0.0:1'


def list_missing_fields(cls: Any, value: Any, path: str = '') -> list[str]:
    """Returns the paths of fields that are missing in a JSON object."""
    missing = []
    for name, field in attrs.fields_dict(cls).items():
        if name not in value:
            missing.append(path + name)
        elif (
            isinstance(value[name], dict)
            and field.type
            and attrs.has(field.type)
        ):
            missing += list_missing_fields(
                field.type, value[name], f'{path}{name}.'
            )
    return missing


def test_the_example_loads_and_names_every_field() -> None:
    text = EXAMPLE.read_text('utf-8')
    parse_settings(text)
    attrs.resolve_types(Settings)
    value = json5.loads(text)
    assert list_missing_fields(Settings, value) == []
    for name in ('certificate', 'key', 'minimum_version', 'authority'):
        assert f'"{name}"' in text
    defaults = Settings('x', 'x', ('x',), parse_settings(GOOD).platform)
    for field in ('times', 'limits'):
        assert value[field] == attrs.asdict(getattr(defaults, field))


def test_check_settings_exit_statuses(tmp_path: pathlib.Path) -> None:
    wrong = tmp_path / 'wrong.json'
    wrong.write_text(GOOD.replace('0.5', '-1'))
    statuses = {}
    for path in (EXAMPLE, wrong, tmp_path / 'none.json'):
        ended = subprocess.run(
            [
                *(sys.executable, '-m', 'lentilmount.daemon'),
                *('--settings', str(path), '--check-settings'),
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        statuses[path.name] = ended.returncode
        if path == wrong:
            assert 'line 11, times.poll: must be > 0' in ended.stderr
    assert statuses == {
        'lentilmountd.json': ExitStatus.OK,
        'wrong.json': ExitStatus.INVALID,
        'none.json': ExitStatus.INVALID,
    }


def test_reload_applies_reloadable_fields_and_reports_others() -> None:
    """An invalid settings file must not change the active settings."""
    old = parse_settings(GOOD)
    new = attrs.evolve(
        old,
        zone_links=5,
        log_level='debug',
        times=attrs.evolve(old.times, drain=9.0, poll=7.0),
        access=(AccessSettings('a', hash_token('t'), 'x', ('read',)),),
    )
    files: list[Settings | Exception] = [
        new,
        SettingsError('wrong'),
        attrs.evolve(new, log_level='error'),
    ]

    def read() -> Settings:
        given = files.pop(0)
        if isinstance(given, Exception):
            raise given
        return given

    daemon = Daemon(old)
    handler = make_handler('text', 'info', io.StringIO())
    reloader = make_reloader(daemon, read, handler)
    with pytest.raises(AccessError):
        daemon.authenticator.authenticate('Bearer t')
    with logbook.TestHandler() as log:
        assert reloader.reload() == ('times.poll', 'zone_links')
        assert log.has_warning('Only a restart changes times.poll, zone_links.')
    assert daemon.authenticator.authenticate('Bearer t').team == 'x'
    assert daemon.settings.times.drain == 9.0
    assert daemon.settings.times.poll == old.times.poll
    assert handler.level == logbook.DEBUG
    with logbook.TestHandler() as log:
        assert reloader.reload() == ()
        assert log.has_error('The settings stay as they were: wrong')
    assert handler.level == logbook.DEBUG
    assert reloader.reload() == ('times.poll', 'zone_links')
    assert handler.level == logbook.ERROR


def test_log_lines_have_ids_and_libraries_use_the_same_format() -> None:
    text, lines = io.StringIO(), io.StringIO()
    log = logbook.Logger('part')
    with make_handler('text', 'info', text), bound(request='r1'):
        log.info('It went {}.', 'well', extra={'task': 'Job/a/b/0'})
        log.debug('Not shown.')
    assert text.getvalue().endswith(
        'INFO    part: It went well. [request=r1 task=Job/a/b/0]\n'
    )
    with make_handler('json', 'info', lines), capture_libraries():
        log.info('After.')
        logging.getLogger('tornado.general').warning('Old style.')
        try:
            raise ValueError('reason')
        except ValueError:
            log.exception('It failed.')
    after, library, failed = map(json.loads, lines.getvalue().splitlines())
    assert 'request' not in after
    assert after['part'] == 'part'
    assert library['part'] == 'tornado.general'
    assert 'ValueError: reason' in failed['trace']


def test_tokens_are_looked_up_by_hash() -> None:
    authenticator = Authenticator(
        [AccessSettings('a', hash_token('secret'), '*', ('read',))]
    )
    assert authenticator.authenticate('bearer secret').name == 'a'
    for header in ('', 'Bearer', 'secret', f'Bearer {hash_token("secret")}'):
        with pytest.raises(AccessError):
            authenticator.authenticate(header)
