"""The platform's names stay inside `platform/`, which must not shadow the standard library."""

import ast
import platform
import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
# `tls_key` is not among them, since crankseam itself has a field of that name.
WIRE_NAMES = re.compile(
    r"path_prefix\"|\bafter_rev\b|next_token|Expect-Instance|Response-Stamp|Weight-Versions"
    r"|Server-Load|Not-Run|Request-Priority|Prompt-Prefix|Token-Counts|kv-(key|range|watch|txn|lease)|/v1/(lots|items)"
    r"|op/config|servers/|traffic_split|max_queue_s|fleetbench",
)


def test_the_standard_librarys_platform_is_not_hidden():
    assert platform.python_implementation() == "CPython"
    assert not (ROOT / "platform" / "__init__.py").exists()
    started = subprocess.run(
        [sys.executable, "-c", "import platform; print(platform.python_implementation())"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert started.stdout.strip() == "CPython"


@pytest.mark.parametrize("folder", ["src"])
def test_no_word_of_the_wire_stands_outside_the_folder(folder):
    for file in (ROOT / folder).rglob("*.py"):
        found = WIRE_NAMES.search(file.read_text(encoding="utf-8"))
        assert found is None, f"{file}: {found.group()}"


def test_the_product_does_not_import_the_folder():
    for file in (ROOT / "src" / "crankseam").rglob("*.py"):
        for node in ast.walk(ast.parse(file.read_text(encoding="utf-8"))):
            module = getattr(node, "module", None) or ""
            names = [alias.name for alias in getattr(node, "names", [])]
            assert not any(name.startswith("crankseam_platform") for name in [module, *names])


def test_the_serving_roles_do_not_import_the_stand_ins():
    for file in (ROOT / "platform" / "crankseam_platform").rglob("*.py"):
        assert "standins" not in file.read_text(encoding="utf-8"), file


def test_the_deployed_libraries_are_the_locked_ones():
    locked = set((ROOT / "requirements.lock").read_text(encoding="utf-8").splitlines())
    deployed = (ROOT / "deploy" / "requirements.lock").read_text(encoding="utf-8").splitlines()
    assert deployed and set(deployed) <= locked


# Names of the users' deployments, sites and scenarios, on which no serving code may depend.
DEPLOYMENT_NAMES = re.compile(
    r"riga|dvt|pinfold|mahlangu|mbf|derby|leicester|coventry|secunda|witbank|ermelo"
    r"|(quiet|trouble|scale|fresh)-\d",
    re.IGNORECASE,
)


@pytest.mark.parametrize("folder", ["src/crankseam", "platform/crankseam_platform", "deploy"])
def test_nothing_that_serves_knows_a_deployment_by_its_name(folder):
    for file in (ROOT / folder).rglob("*"):
        if file.suffix in (".py", ".toml", ".template"):
            found = DEPLOYMENT_NAMES.search(file.read_text(encoding="utf-8"))
            assert found is None, f"{file}: {found.group()}"
