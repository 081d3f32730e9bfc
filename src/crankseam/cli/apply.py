"""Apply the files as a whole, or not at all.

--plan FILE refuses if another change was accepted since that plan; --wait returns once the
revision is in force on every node.
"""

from __future__ import annotations

import argparse
import asyncio
import getpass
import sys
import time
from pathlib import Path
from typing import Any

from tqdm import tqdm

from crankseam.cli import exit_codes
from crankseam.cli.common import (
    NodeUnreachable,
    add_files,
    add_json,
    add_key_value,
    add_node,
    ask_nodes,
    print_json,
    tls_context,
    with_key_value,
)
from crankseam.clients.key_value import KeyValueClient
from crankseam.config.changes import apply_plan, make_plan
from crankseam.config.kinds import Document
from crankseam.config.reader import read_configuration
from crankseam.config.snapshot import Pointer
from crankseam.errors import ApplyConflict

POLL_S = 0.2
"""How often a node is asked whether the revision is in force. Origin not recorded."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Files, service, and how long to wait."""
    add_files(parser)
    add_key_value(parser)
    add_json(parser)
    add_node(parser, required=False)
    parser.add_argument("--plan", type=Path, help="file written by `plan --out`")
    parser.add_argument("--operator", default=getpass.getuser(), help="name for the history")
    parser.add_argument("--wait", action="store_true", help="until in force on all nodes")
    parser.add_argument("--timeout", type=float, default=30.0, help="seconds for --wait")


def run(arguments: argparse.Namespace) -> int:
    """Apply and, if asked, wait."""
    documents = read_configuration(arguments.files)
    planned_from = None
    if arguments.plan:
        planned_from = int(arguments.plan.read_text(encoding="utf-8"))
    if arguments.wait and not arguments.node:
        print("error: --wait needs --node", file=sys.stderr)
        return exit_codes.INVALID
    pointer = with_key_value(
        arguments.key_value,
        lambda client: _apply(client, documents, arguments.operator, planned_from),
    )
    in_force = True
    if arguments.wait:
        in_force = asyncio.run(_wait(arguments, pointer.revision))
    result = {"revision": pointer.revision, "changes": pointer.changes, "in_force": in_force}
    if arguments.json:
        print_json(result)
    else:
        print(f"revision {pointer.revision} accepted, {len(pointer.changes)} changes")
        if arguments.wait:
            print("in force on all nodes" if in_force else "not yet in force on all nodes")
    return exit_codes.OK if in_force else exit_codes.NOT_IN_FORCE


async def _apply(
    client: KeyValueClient, documents: list[Document], operator: str, planned_from: int | None
) -> Pointer:
    plan = await make_plan(client, documents)
    if planned_from is not None and plan.base_revision != planned_from:
        base = plan.base
        raise ApplyConflict(
            planned_from,
            plan.base_revision,
            base.operator if base else "",
            base.changes if base else [],
            plan.changes,
        )
    if not plan.changes and plan.base is not None:
        return plan.base
    return await apply_plan(client, plan, operator)


async def _wait(arguments: argparse.Namespace, revision: int) -> bool:
    """Until every member that is not dead serves under the revision, as one node knows it."""
    deadline = time.monotonic() + arguments.timeout
    tls = tls_context(arguments)
    with tqdm(unit="node", disable=not sys.stderr.isatty()) as progress:
        while time.monotonic() < deadline:
            try:
                status: dict[str, Any] = await ask_nodes(arguments.node, "/operator/status", tls)
            except NodeUnreachable:  # another try, until the deadline
                await asyncio.sleep(POLL_S)
                continue
            living = [m for m in status["members"] if m["status"] != "dead"]
            done = sum(member["revision"] >= revision for member in living)
            progress.total = len(living)
            progress.n = done
            progress.refresh()
            if done == len(living):
                return True
            await asyncio.sleep(POLL_S)
    return False
