"""List requests under which back ends ended, and release one.

crankseam suspects list --node HOST:PORT
crankseam suspects release FINGERPRINT --node HOST:PORT
"""

from __future__ import annotations

import argparse
import asyncio
from typing import Any

from crankseam.cli import exit_codes
from crankseam.cli.common import add_json, add_node, ask_nodes, print_json, tls_context

SUSPECTS_PATH = "/operator/suspects"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the actions `list` and `release` with their arguments."""
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    listing = actions.add_parser("list", help="all that are known, with their evidence")
    add_node(listing)
    add_json(listing)
    release = actions.add_parser("release", help="let one be sent as any other request")
    release.add_argument("fingerprint", help="as the list, a log line or a refusal names it")
    add_node(release)
    add_json(release)


def run(arguments: argparse.Namespace) -> int:
    """Print the suspects known to a node, or release one of them."""
    tls = tls_context(arguments)
    if arguments.action == "release":
        path = f"{SUSPECTS_PATH}/{arguments.fingerprint}/release"
        released = asyncio.run(ask_nodes(arguments.node, path, tls, method="POST"))
        print(f"released {released['fingerprint']}")
        return exit_codes.OK
    records = asyncio.run(ask_nodes(arguments.node, SUSPECTS_PATH, tls))
    if arguments.json:
        print_json(records)
        return exit_codes.OK
    for suspect in records:
        print(_format_suspect(suspect))
    return exit_codes.OK


def _format_suspect(suspect: dict[str, Any]) -> str:
    state = f"held for {suspect['held_for_s']:.0f} s more" if suspect["held"] else "suspected"
    return (
        f"{suspect['fingerprint']} {suspect['route']} tenant={suspect['tenant'] or '-'}"
        f" body={suspect['body_bytes']} bytes: {state}, changed {suspect['age_s']:.0f} s ago,"
        f" probes {suspect['probes']}, ended: {', '.join(suspect['ended'])}"
    )
