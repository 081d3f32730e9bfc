"""Reading declarative files: every error is reported with its file, line and field."""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crankseam.config.reader import ConfigurationReader, read_configuration
from crankseam.errors import InvalidConfiguration

EXAMPLES = Path(__file__).parents[2] / "examples"
INVALID_DOCUMENTS = b"""\
kind: Service
name: booking
home_region: midlands
deadline: 10
back_end: []
back_ends:
  - { name: one, address: nowhere, zone: derby }
---
kind: Trainer
name: trainer
pool: nothing
staleness_bound: -1
---
kind: Limit
name: limit
target: missing
max_in_flight: 5
---
kind: Nonsense
"""


def errors_of(content: bytes) -> list[tuple[int, str]]:
    reader = ConfigurationReader()
    reader.read_bytes(content, "file.yaml")
    with pytest.raises(InvalidConfiguration) as caught:
        reader.finish()
    return [(error.line, error.field) for error in caught.value.exceptions]


@pytest.mark.parametrize("example", ["pinfold", "mahlangu-botha"])
def test_examples_are_valid(example):
    assert len(read_configuration([EXAMPLES / example])) == 5


def test_all_errors_are_reported_at_once_with_their_lines():
    found = errors_of(INVALID_DOCUMENTS)
    assert (4, "deadline") in found
    assert (5, "back_end") in found
    assert (7, "back_ends.0.address") in found
    assert (12, "staleness_bound") in found
    assert (16, "target") in found
    assert (19, "kind") in found


def test_a_misspelt_field_is_named_with_the_right_one():
    reader = ConfigurationReader()
    reader.read_bytes(b"kind: Limit\nname: a\ntarget: b\nmax_in_flght: 3\n", "f.yaml")
    texts = [str(error) for error in reader.errors]
    assert any("did you mean max_in_flight" in text for text in texts)


def test_duplicate_names_and_fields_are_refused():
    text = b"kind: Limit\nname: a\nname: b\ntarget: c\nmax_in_flight: 1\n"
    assert (3, "name") in errors_of(text)
    pool = b"kind: SamplerPool\nname: p\nhome_region: r\nsamplers:\n"
    pool += b"- {name: a, address: 'h:1', zone: z}\n" * 2
    assert (6, "samplers.1.name") in errors_of(pool)


def test_aliases_are_refused_since_they_expand_without_bound():
    text = b"a: &a [x, x]\nb: [*a, *a]\n"
    assert errors_of(text) == [(2, "yaml")]


@settings(max_examples=300)
@given(st.binary(max_size=400))
def test_any_bytes_give_documents_or_typed_errors(content):
    reader = ConfigurationReader()
    reader.read_bytes(content, "fuzz.yaml")
    try:
        reader.finish()
    except InvalidConfiguration as group:
        assert all(error.file == "fuzz.yaml" for error in group.exceptions)


YAML_PIECES = st.sampled_from(
    ["kind: ", "Service", "name: ", "- ", "[", "]", "{", "}", ":", "\n", "  ", "&a ", "*a",
     "!!python/object:os.system ", "'", '"', "|", ">", "---\n", "? ", "0x1f", "2026-12-02",
     ".inf", "1e400", "<<: ", "null", "deadline: 10s", "\x00", "\ufeff"]
)  # fmt: skip


@settings(max_examples=500)
@given(st.lists(YAML_PIECES, max_size=25))
def test_any_yaml_gives_documents_or_typed_errors(pieces):
    reader = ConfigurationReader()
    reader.read_bytes("".join(pieces).encode(), "fuzz.yaml")
    try:
        reader.finish()
    except InvalidConfiguration:
        pass


def test_deep_nesting_is_a_typed_error():
    reader = ConfigurationReader()
    reader.read_bytes(b"[" * 100_000, "deep.yaml")
    reader.read_bytes(b"a: " + b"[" * 500 + b"]" * 500, "deep.yaml")
    assert len(reader.errors) == 2
