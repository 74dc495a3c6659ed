"""Tests of settings: precedence of flags, reporting of invalid values, secrecy of tokens."""

import datetime

import pytest

from flamingotiller import errors, settings

VALID_FLAGS = {
    "instance": "a-1",
    "listen": "127.0.0.1:0",
    "tokens_file": "/t",
    "zone": "a",
    "control": "127.0.0.1:1,127.0.0.2:2",
}


def test_flags_take_precedence_over_the_environment():
    environ = {"FLAMINGOTILLER_ZONE": "b", "FLAMINGOTILLER_LEASE": "9s", "OTHER": "x"}
    loaded = settings.load(settings.EntrySettings, VALID_FLAGS, environ)
    assert loaded.zone == "a"
    assert loaded.lease == datetime.timedelta(seconds=9)
    assert loaded.control == ["127.0.0.1:1", "127.0.0.2:2"]


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("listen", "host:1"), ("listen", "1.2.3.4"), ("listen", "1.2.3.4:99999"),
        ("control", ""), ("lease", "-1s"), ("lease", "0s"), ("lease", "2d"), ("lease", "2h"),
        ("max_connections", "many"), ("log_format", "xml"), ("zone", "A"), ("nothing", "1"),
    ],
)  # fmt: skip
def test_invalid_value_is_named(name, value):
    with pytest.raises(errors.SettingsError) as caught:
        settings.load(settings.EntrySettings, {**VALID_FLAGS, name: value}, {})
    assert f"--{name}" in str(caught.value)


def test_unknown_variable_is_named():
    with pytest.raises(errors.SettingsError, match="FLAMINGOTILLER_ZONES"):
        settings.load(settings.EntrySettings, VALID_FLAGS, {"FLAMINGOTILLER_ZONES": "a"})


@pytest.mark.parametrize(
    "text", ["peer = 'short'", "peer = 3", "x = 1", "peer", "[operators]\na = 1"]
)
def test_error_for_an_invalid_tokens_file_has_no_token(tmp_path, text):
    path = tmp_path / "tokens.toml"
    path.write_text(text)
    with pytest.raises(errors.SettingsError) as caught:
        settings.load_tokens(path)
    assert "short" not in str(caught.value)


def test_tokens_are_hidden_in_repr(tmp_path):
    path = tmp_path / "tokens.toml"
    path.write_text('peer = "sixteen-characters-or-more"')
    assert "sixteen" not in repr(settings.load_tokens(path))
