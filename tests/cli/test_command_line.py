"""The command line: exit codes, JSON output and no traceback on invalid input."""

import asyncio
import json
from pathlib import Path

import pytest

from crankseam.cli import exit_codes
from crankseam.cli.main import main
from crankseam.settings import load_settings
from tests.support.harness import running_cluster

EXAMPLE = str(Path(__file__).parents[2] / "examples" / "pinfold")


def run(capsys, *arguments: str) -> tuple[int, str, str]:
    code = main(list(arguments))
    captured = capsys.readouterr()
    return code, captured.out, captured.err


def test_validate_names_file_line_and_field(capsys, tmp_path):
    file = tmp_path / "bad.yaml"
    file.write_text("kind: Limit\nname: x\ntarget: y\nmax_in_flight: none\n")
    code, _, errors = run(capsys, "validate", str(file))
    assert code == exit_codes.INVALID
    assert f"{file}:4: max_in_flight:" in errors
    assert f"{file}:3: target:" in errors or "max_in_flight" in errors
    code, output, _ = run(capsys, "validate", str(file), "--json")
    assert json.loads(output)["valid"] is False
    assert run(capsys, "validate", EXAMPLE)[0] == exit_codes.OK


def test_the_schema_covers_every_kind(capsys):
    _, output, _ = run(capsys, "schema")
    for kind in ("Service", "SamplerPool", "WeightPolicy", "Limit", "Trainer"):
        assert kind in json.loads(output)["$defs"]


def test_settings_are_checked_like_the_configuration(capsys, tmp_path):
    file = tmp_path / "node.toml"
    file.write_text('name = "n"\nregion = "r"\nzone = "z"\n[timing]\nheartbeat_interval = 3\n')
    code, _, errors = run(capsys, "node", "--settings", str(file), "--print-settings")
    assert code == exit_codes.INVALID
    assert f"{file}:5: timing.heartbeat_interval" in errors
    assert "key_value" in errors
    file.write_text("name = \n")
    code, _, errors = run(capsys, "node", "--settings", str(file))
    assert f"{file}:1: toml" in errors


def test_flags_override_the_file(tmp_path):
    file = tmp_path / "node.toml"
    file.write_text('name = "n"\nregion = "r"\nzone = "z"\nkey_value = ["h:1"]\n')
    settings = load_settings(file, {"zone": "other", "region": None})
    assert (settings.zone, settings.region) == ("other", "r")


def test_an_unreachable_service_is_one_line_and_its_own_exit_code(capsys):
    code, _, errors = run(capsys, "plan", EXAMPLE, "--key-value", "127.0.0.1:1")
    assert code == exit_codes.UNREACHABLE
    assert "Traceback" not in errors


@pytest.fixture
async def cluster():
    async with running_cluster() as running:
        yield running


async def test_plan_apply_history_status_explain(cluster, capsys, tmp_path):
    key_value = ["--key-value", cluster.platform.key_value_address]
    node = ["--node", cluster.url(1).removeprefix("http://")]

    async def command(*arguments: str) -> tuple[int, str]:
        code = await asyncio.to_thread(main, list(arguments))
        return code, capsys.readouterr().out

    plan = str(tmp_path / "plan")
    code, output = await command("plan", EXAMPLE, *key_value, "--out", plan)
    assert code == exit_codes.OK and "- Service/booking" in output
    code, output = await command("apply", EXAMPLE, *key_value, *node, "--wait", "--plan", plan)
    assert code == exit_codes.OK and "in force on all nodes" in output
    code, output = await command("history", *key_value, "--json")
    assert [item["revision"] for item in json.loads(output)] == [2, 1]
    code, output = await command("status", *node, "--json")
    assert json.loads(output)["revision"] == 2
    assert len(json.loads(output)["members"]) == 3
    # The plan is outdated, since the configuration has changed after it was made.
    assert (await command("apply", EXAMPLE, *key_value, "--plan", plan))[0] == exit_codes.CONFLICT
    assert (await command("explain", "nothing", *node))[0] == exit_codes.FAILED
