"""Settings: JSON with comments, and every wrong field at once."""

import pytest

from lentilmount.errors import SettingsError
from lentilmount.settings import parse_settings

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


def test_every_wrong_field_is_named_with_its_line() -> None:
    text = GOOD.replace('"poll": 0.5', '"poll": -1').replace(
        '"http://127.0.0.1:2"', '7'
    )
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    found = {field.field: field.line for field in caught.value.fields}
    assert found == {'times.poll': 11, 'platform.objects': 8}


def test_an_open_comment_is_told() -> None:
    with pytest.raises(SettingsError):
        parse_settings(GOOD + '/* open')
