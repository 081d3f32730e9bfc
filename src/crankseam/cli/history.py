"""Show accepted revisions, newest first."""

from __future__ import annotations

import argparse

import msgspec

from crankseam.cli import exit_codes
from crankseam.cli.common import add_json, add_key_value, print_json, with_key_value
from crankseam.config.snapshot import Pointer
from crankseam.constants import HISTORY_PREFIX


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of `history`."""
    add_key_value(parser)
    add_json(parser)
    parser.add_argument("--last", type=int, default=20, help="how many revisions")


def run(arguments: argparse.Namespace) -> int:
    """Print the last accepted revisions with their changes."""
    entries = with_key_value(
        arguments.key_value, lambda client: client.get_last(HISTORY_PREFIX, arguments.last)
    )
    pointers = [msgspec.json.decode(item.value, type=Pointer) for item in entries]
    if arguments.json:
        print_json([msgspec.to_builtins(pointer) for pointer in pointers])
        return exit_codes.OK
    for pointer in pointers:
        print(f"revision {pointer.revision} by {pointer.operator} at {pointer.applied_at}")
        for line in pointer.changes:
            print(f"  {line}")
    return exit_codes.OK
