"""Show what applying the files would change.

With --out, the revision that the plan was compared with is written to a file for `apply --plan`.
"""

from __future__ import annotations

import argparse
from pathlib import Path

from crankseam.cli import exit_codes
from crankseam.cli.common import add_files, add_json, add_key_value, print_json, with_key_value
from crankseam.config.changes import make_plan
from crankseam.config.reader import read_configuration


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of `plan`."""
    add_files(parser)
    add_key_value(parser)
    add_json(parser)
    parser.add_argument("--out", type=Path, help="write the base revision here")


def run(arguments: argparse.Namespace) -> int:
    """Print the differences between the files and the accepted configuration."""
    documents = read_configuration(arguments.files)
    plan = with_key_value(arguments.key_value, lambda client: make_plan(client, documents))
    if arguments.out:
        arguments.out.write_text(f"{plan.base_revision}\n", encoding="utf-8")
    if arguments.json:
        print_json({"base_revision": plan.base_revision, "changes": plan.changes})
        return exit_codes.OK
    print(f"against revision {plan.base_revision}:")
    print("\n".join(plan.changes) if plan.changes else "no changes")
    return exit_codes.OK
