"""The serving package imports no stand-ins or experiments; stand-ins import no experiments."""

import ast
from pathlib import Path

import pytest

SOURCE = Path(__file__).parents[1] / "src"
FORBIDDEN = {
    "crankseam": ("crankseam_standins", "crankseam_experiments"),
    "crankseam_standins": ("crankseam_experiments",),
}


def imported(file: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(file.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        if isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return {name.partition(".")[0] for name in names}


@pytest.mark.parametrize("package", FORBIDDEN)
def test_imports_go_one_way(package):
    for file in (SOURCE / package).rglob("*.py"):
        assert not imported(file) & set(FORBIDDEN[package]), file


def test_the_serving_package_starts_no_process():
    for file in (SOURCE / "crankseam").rglob("*.py"):
        assert not imported(file) & {"subprocess", "multiprocessing"}, file
