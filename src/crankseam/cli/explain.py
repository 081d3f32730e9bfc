"""Explain a decision: by its id, a request id, an idempotency key, a sample or a back end.

Any node can be queried, even after the node that made the decision has failed. With `--log`, the
explanation is assembled from log files instead, which may come from several machines.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

from crankseam.cli import exit_codes
from crankseam.cli.common import add_json, add_node, ask_nodes, print_json, tls_context
from crankseam.story import LogLine, extract, read_lines


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of `explain`."""
    parser.add_argument("id", help="decision id, request id, idempotency key, trainer/step/index")
    add_node(parser, required=False)
    parser.add_argument(
        "--log", action="append", type=Path, metavar="FILE", help="log file; may be given often"
    )
    add_json(parser)


def run(arguments: argparse.Namespace) -> int:
    """Print the decisions about the id, or with `--log` the log lines about it."""
    if arguments.log:
        return _explain_from_logs(arguments)
    if not arguments.node:
        print("error: name a --node or a --log", file=sys.stderr)
        return exit_codes.INVALID
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


def _explain_from_logs(arguments: argparse.Namespace) -> int:
    """Print the log lines about the id, then related events of its nodes and back ends."""
    log_extract = extract(read_lines(arguments.log), arguments.id)
    if arguments.json:
        print_json({"subject": log_extract.subject, "surroundings": log_extract.surroundings})
        return exit_codes.OK if log_extract.subject else exit_codes.FAILED
    if not log_extract.subject:
        print(f"no log line refers to {arguments.id}")
        return exit_codes.FAILED
    started = float(log_extract.subject[0]["time"])
    for line in log_extract.subject:
        print(_format_line(line, started))
    if log_extract.surroundings:
        print("meanwhile:")
    for line in log_extract.surroundings:
        print(_format_line(line, started))
    return exit_codes.OK


def _format_line(line: LogLine, started: float) -> str:
    fixed_fields = ("time", "node", "level", "event")
    other_fields = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in fixed_fields
    )
    offset = float(line["time"]) - started
    return f"{offset:+9.3f} s  {line.get('node', '?'):<22} {line['event']:<20} {other_fields}"
