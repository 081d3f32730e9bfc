"""Operator interfaces: help texts, schemas, settings, log events and metrics stay stable."""

import json
import re
from pathlib import Path

from crankseam_platform.front import Front

from crankseam.cli.main import _build_parser, _load_verbs, main
from crankseam.metrics import NodeMetrics
from crankseam.serving.log_events import EVENTS
from crankseam.serving.settings import Listeners, ProcessSettings
from tests.golden.compare import check_golden

ROOT = Path(__file__).parents[2]


def iter_parsers(parser):
    """Yield the full name and the parser of a command and, recursively, of its subcommands."""
    yield parser.prog, parser
    for action in parser._actions:
        if hasattr(action, "choices") and isinstance(action.choices, dict):
            for subparser in action.choices.values():
                yield from iter_parsers(subparser)


def test_help_of_each_verb(monkeypatch):
    monkeypatch.setenv("COLUMNS", "100")
    help_texts = {
        name: parser.format_help() for name, parser in iter_parsers(_build_parser(_load_verbs()))
    }
    check_golden("help.json", help_texts)


def test_schema_of_the_documents(capsys):
    assert main(["schema"]) == 0
    check_golden("schema.json", json.loads(capsys.readouterr().out))


def test_deploy_file_and_settings_template():
    for file in ("deploy/system.toml", "platform/settings.toml.template"):
        text = (ROOT / file).read_text(encoding="utf-8")
        check_golden(Path(file).name, text)


def test_log_events_and_their_fields():
    check_golden("log_events.json", {name: sorted(EVENTS[name].fields) for name in EVENTS})


def strip_values(page):
    """Return the metrics page without the sample values."""
    return re.sub(r"(?m)^([^#].*) \S+$", r"\1", page.decode())


async def test_metrics_page_of_a_fresh_front():
    settings = ProcessSettings(
        name="n",
        ip="127.0.0.1",
        zone="z",
        store_address="127.0.0.1:1",
        listen=Listeners("127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"),
    )
    check_golden("metrics_front.txt", strip_values(Front(settings).metrics.render()))


def test_metrics_page_of_a_fresh_node():
    check_golden("metrics_node.txt", strip_values(NodeMetrics().render()))
