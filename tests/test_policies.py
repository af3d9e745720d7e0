"""The operators' file of optional policies."""

import pytest

from lentilmount.errors import SettingsError
from lentilmount.policies import AdmissionPolicy, Policies
from lentilmount.policyfile import parse_policies


def test_policies_are_off_unless_given() -> None:
    assert parse_policies('{}') == Policies()


def test_a_policy_that_is_given_has_defaults() -> None:
    text = """{
      // Refuse what cannot be in time.
      "admission": {"weights": {"alerts": 2}}
    }"""
    expected = AdmissionPolicy(weights={'alerts': 2.0})
    assert parse_policies(text) == Policies(admission=expected)


def test_invalid_fields_are_reported_with_their_lines() -> None:
    text = """{
      "admission": {"useful_multiple": 0.5, "weights": {"alerts": 0}},
      "copies": {
        "max_share": 2,
        "speed": 1
      }
    }"""
    with pytest.raises(SettingsError) as caught:
        parse_policies(text)
    found = {field.field: field.line for field in caught.value.fields}
    assert found['admission.useful_multiple'] == 2
    assert found['copies.max_share'] == 4
    assert 'copies.speed' in found


def test_a_file_that_is_not_an_object_is_reported() -> None:
    with pytest.raises(SettingsError, match='policies'):
        parse_policies('[]')
