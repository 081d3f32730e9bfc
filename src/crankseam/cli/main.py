"""Entry point of the `crankseam` command: runs a verb and maps its errors to exit codes."""

from __future__ import annotations

import argparse
import importlib
import sys
from importlib.metadata import entry_points
from types import ModuleType

from crankseam import __version__
from crankseam.cli import exit_codes
from crankseam.errors import ApplyConflict, CrankseamError, InvalidConfiguration, KeyValueError

VERBS = ["node", "validate", "plan", "apply", "status", "history", "explain", "suspects", "schema"]
PLUGIN_GROUP = "crankseam.verbs"


def _load_verbs() -> dict[str, ModuleType]:
    """Import the modules of the built-in verbs and of the verbs that plugins register.

    Each module defines `add_arguments(parser)` and `run(arguments) -> int`.
    """
    verbs = {name: importlib.import_module(f"crankseam.cli.{name}") for name in VERBS}
    for plugin in entry_points(group=PLUGIN_GROUP):
        verbs[plugin.name] = plugin.load()
    return verbs


def _build_parser(verbs: dict[str, ModuleType]) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="crankseam", description="A rollout service run by declarative files."
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="verb", required=True, metavar="VERB")
    for name, module in verbs.items():
        summary = (module.__doc__ or "").strip().splitlines()[0]
        command = commands.add_parser(name, help=summary, description=summary)
        module.add_arguments(command)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run one verb and return its exit code."""
    verbs = _load_verbs()
    arguments = _build_parser(verbs).parse_args(argv)
    try:
        return verbs[arguments.verb].run(arguments)
    except InvalidConfiguration as group:
        for error in group.exceptions:
            print(f"error: {error}", file=sys.stderr)
        print(f"{len(group.exceptions)} error(s); nothing was changed", file=sys.stderr)
        return exit_codes.INVALID
    except ApplyConflict as conflict:
        print(f"conflict: {conflict}", file=sys.stderr)
        return exit_codes.CONFLICT
    except KeyValueError as error:
        print(f"key-value service: {type(error).__name__}: {error}", file=sys.stderr)
        return exit_codes.UNREACHABLE
    except CrankseamError as error:
        print(f"error: {error}", file=sys.stderr)
        return exit_codes.FAILED
    except KeyboardInterrupt:
        return exit_codes.FAILED


if __name__ == "__main__":
    sys.exit(main())
