"""Show members, their configuration revisions, and back ends.

Any node can be queried; the output shows the state as known to that node.
"""

from __future__ import annotations

import argparse
import asyncio

from crankseam.cli import exit_codes
from crankseam.cli.common import add_json, add_node, ask_nodes, print_json, tls_context


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of `status`."""
    add_node(parser)
    add_json(parser)


def run(arguments: argparse.Namespace) -> int:
    """Print the status that the first responding node returns."""
    status = asyncio.run(ask_nodes(arguments.node, "/operator/status", tls_context(arguments)))
    if arguments.json:
        print_json(status)
        return exit_codes.OK
    print(f"revision {status['revision']}, asked of {status['node']}")
    for member in status["members"]:
        print(
            f"  {member['name']:<24} {member['zone']:<20} {member['status']:<8}"
            f" revision {member['revision']}"
        )
    for back_end in status["back_ends"]:
        state = back_end["out_of_routing"] or "in routing"
        version = f" version {back_end['version']}" if back_end["version"] >= 0 else ""
        print(
            f"  {back_end['group']}/{back_end['name']:<16} load {back_end['load']:g}"
            f"{version} {state}"
        )
    return exit_codes.OK
