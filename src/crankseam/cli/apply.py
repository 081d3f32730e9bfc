"""Apply the files as a whole, or not at all.

With --plan FILE, the command rejects the change if another one was accepted after that plan was
made. With --wait, it returns once the revision is in force on every node that is not dead, or when
--timeout expires.
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

POLL_INTERVAL_S = 0.2
"""Interval between two queries for the revisions that are in force on the members."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of `apply`."""
    add_files(parser)
    add_key_value(parser)
    add_json(parser)
    add_node(parser, required=False)
    parser.add_argument("--plan", type=Path, help="file written by `plan --out`")
    parser.add_argument("--operator", default=getpass.getuser(), help="name for the history")
    parser.add_argument("--wait", action="store_true", help="until in force on all nodes")
    parser.add_argument("--timeout", type=float, default=30.0, help="seconds for --wait")


def run(arguments: argparse.Namespace) -> int:
    """Apply the files and, with `--wait`, wait until the revision is in force."""
    documents = read_configuration(arguments.files)
    planned_from = None
    if arguments.plan:
        planned_from = int(arguments.plan.read_text(encoding="utf-8"))
    if arguments.wait and not arguments.node:
        print("error: --wait needs --node", file=sys.stderr)
        return exit_codes.INVALID
    pointer = with_key_value(
        arguments.key_value,
        lambda client: _plan_and_apply(client, documents, arguments.operator, planned_from),
    )
    in_force = True
    if arguments.wait:
        in_force = asyncio.run(_wait_until_in_force(arguments, pointer.revision))
    result = {"revision": pointer.revision, "changes": pointer.changes, "in_force": in_force}
    if arguments.json:
        print_json(result)
    else:
        print(f"revision {pointer.revision} accepted, {len(pointer.changes)} changes")
        if arguments.wait:
            print("in force on all nodes" if in_force else "not yet in force on all nodes")
    return exit_codes.OK if in_force else exit_codes.NOT_IN_FORCE


async def _plan_and_apply(
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


async def _wait_until_in_force(arguments: argparse.Namespace, revision: int) -> bool:
    """Wait until every member that is not dead serves under the revision, or until the timeout.

    The members and their revisions are those in the status of one node.

    Returns:
        Whether the revision was in force on all these members before the timeout.
    """
    deadline = time.monotonic() + arguments.timeout
    tls = tls_context(arguments)
    with tqdm(unit="node", disable=not sys.stderr.isatty()) as progress:
        while time.monotonic() < deadline:
            try:
                status: dict[str, Any] = await ask_nodes(arguments.node, "/operator/status", tls)
            except NodeUnreachable:  # retried until the deadline
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            live_members = [m for m in status["members"] if m["status"] != "dead"]
            updated_count = sum(member["revision"] >= revision for member in live_members)
            progress.total = len(live_members)
            progress.n = updated_count
            progress.refresh()
            if updated_count == len(live_members):
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
    return False
