"""Explain a decision: by its id, a request id, an idempotency key, a sample or a back end.

Any node can be asked, also after the node that decided has died.
"""

from __future__ import annotations

import argparse
import asyncio

from crankseam.cli import exit_codes
from crankseam.cli.common import add_json, add_node, ask_nodes, print_json, tls_context


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """What to explain, and which node to ask."""
    parser.add_argument("id", help="decision id, request id, idempotency key, trainer/step/index")
    add_node(parser)
    add_json(parser)


def run(arguments: argparse.Namespace) -> int:
    """Ask and print."""
    decisions = asyncio.run(
        ask_nodes(arguments.node, f"/operator/explain/{arguments.id}", tls_context(arguments))
    )
    if arguments.json:
        print_json(decisions)
        return exit_codes.OK
    for decision in decisions:
        chosen = decision["choice"] or "nothing"
        print(f"{decision['decision_id']} ({decision['kind']}) at {decision['at']}")
        print(f"  {decision['subject']}: chose {chosen}: {decision['reason']}")
        print(f"  by {decision['node']} under revision {decision['revision']}")
        for candidate in decision["candidates"]:
            verdict = candidate["refused"] or "eligible"
            print(f"    {candidate['name']:<16} load {candidate['load']:g}: {verdict}")
    return exit_codes.OK
