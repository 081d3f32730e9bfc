"""No module takes part in an import cycle; imports inside functions count too."""

import ast
import graphlib
from pathlib import Path

ROOT = Path(__file__).parents[1]
FILES = [(folder, file) for folder in ("src", "platform") for file in (ROOT / folder).rglob("*.py")]


def module_of(folder, file):
    parts = file.relative_to(ROOT / folder).with_suffix("").parts
    return ".".join(parts).removesuffix(".__init__")


MODULES = {module_of(folder, file): file for folder, file in FILES}


def imported(file):
    """Return the modules of this repository that a file imports."""
    found = set()
    for node in ast.walk(ast.parse(file.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                name = f"{node.module}.{alias.name}"
                found.add(name if name in MODULES else node.module)
    return found & MODULES.keys()


def test_no_module_imports_itself_by_way_of_others():
    graph = {name: imported(file) - {name} for name, file in MODULES.items()}
    graphlib.TopologicalSorter(graph).prepare()


def test_a_circle_would_be_noticed():
    cycle = {"a": {"b"}, "b": {"a"}}
    try:
        graphlib.TopologicalSorter(cycle).prepare()
    except graphlib.CycleError as error:
        assert set(error.args[1]) == {"a", "b"}
    else:
        raise AssertionError("the import cycle was not detected")
