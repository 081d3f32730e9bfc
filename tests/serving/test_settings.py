import pytest

from crankseam.errors import InvalidConfiguration
from crankseam.serving.settings import load_settings, parse_settings

GOOD = """name = "front-1"
ip = "10.0.0.1"
zone = "z"
store_address = "10.0.0.9:80"
some_new_field = 3

[listen]
callers = "10.0.0.1:80"

[bounds]
grace_seconds = 8
"""


def refusal(text):
    with pytest.raises(InvalidConfiguration) as group:
        parse_settings(text, "settings.toml")
    (error,) = group.value.exceptions
    return error


def test_good_settings_are_read_and_unknown_fields_skipped():
    settings = parse_settings(GOOD, "settings.toml")
    assert settings.listen.callers == "10.0.0.1:80" and settings.bounds.grace_seconds == 8
    assert settings.bounds.drain_milliseconds == 2000.0


@pytest.mark.parametrize(
    ("old", "new", "line", "field"),
    [
        ("grace_seconds = 8", 'grace_seconds = "8"', 11, "bounds.grace_seconds"),
        ('name = "front-1"', "name = 7", 1, "name"),
        ('callers = "10.0.0.1:80"', 'callers = "here"', 8, "listen.callers"),
        ('store_address = "10.0.0.9:80"', 'store_address = "10.0.0.9"', 4, "store_address"),
        ('zone = "z"', "zone = ", 3, "toml"),
        ("some_new_field = 3", 'log_level = "loud"', 5, "log_level"),
        ('zone = "z"\n', "", 0, "zone"),
    ],
)
def test_a_wrong_field_is_named_with_file_and_line(old, new, line, field):
    error = refusal(GOOD.replace(old, new))
    assert (error.file, error.line, error.field) == ("settings.toml", line, field)
    assert error.expected


def test_a_missing_file_is_a_typed_error(tmp_path):
    with pytest.raises(InvalidConfiguration):
        load_settings(tmp_path / "none.toml")


def test_the_memory_of_the_machine_is_optional_and_may_be_whole_or_broken():
    assert parse_settings(GOOD, "settings.toml").memory_megabytes is None
    for written in ("200", "160.5"):
        settings = parse_settings(f"memory_megabytes = {written}\n{GOOD}", "settings.toml")
        assert settings.memory_megabytes == float(written)
    assert refusal(f'memory_megabytes = "much"\n{GOOD}').field == "memory_megabytes"
