"""Arguments and helpers that several verbs share.

Owns names and help texts of shared flags. Any node can be asked; the first that answers is
believed.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import ssl
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

import aiohttp

from crankseam.clients.key_value import KeyValueClient
from crankseam.errors import CrankseamError

T = TypeVar("T")
NODE_TIMEOUT_S = 5.0
"""For one node's answer, before the next one is asked. Origin not recorded."""


class NodeUnreachable(CrankseamError):
    """No node answered the operator's question."""


def add_files(parser: argparse.ArgumentParser) -> None:
    """The declarative files or folders."""
    parser.add_argument("files", nargs="+", type=Path, help="YAML files or folders of them")


def add_key_value(parser: argparse.ArgumentParser) -> None:
    """Where the key-value service is."""
    parser.add_argument(
        "--key-value",
        action="append",
        required=True,
        metavar="HOST:PORT",
        help="key-value service; may be given several times",
    )


def add_node(parser: argparse.ArgumentParser, required: bool = True) -> None:
    """Which nodes to ask."""
    parser.add_argument(
        "--node",
        action="append",
        required=required,
        metavar="HOST:PORT",
        help="caller address of a node; may be given several times",
    )
    parser.add_argument("--tls-authority", type=Path, help="PEM: who signed the nodes' keys")
    parser.add_argument("--tls-certificate", type=Path, help="PEM: the operator's certificate")
    parser.add_argument("--tls-key", type=Path, help="PEM: the operator's private key")


def tls_context(arguments: argparse.Namespace) -> ssl.SSLContext | None:
    """TLS towards nodes, if an authority was given."""
    if arguments.tls_authority is None:
        return None
    context = ssl.create_default_context(cafile=str(arguments.tls_authority))
    context.check_hostname = False  # nodes are reached by IP number, known by their authority
    if arguments.tls_certificate is not None:
        context.load_cert_chain(arguments.tls_certificate, arguments.tls_key)
    return context


def add_json(parser: argparse.ArgumentParser) -> None:
    """Machine-readable output."""
    parser.add_argument("--json", action="store_true", help="print JSON")


def with_key_value(endpoints: list[str], work: Callable[[KeyValueClient], Awaitable[T]]) -> T:
    """Run `work` with a client of the key-value service."""

    async def run() -> T:
        client = KeyValueClient(endpoints)
        try:
            return await work(client)
        finally:
            await client.close()

    return asyncio.run(run())


async def ask_nodes(
    nodes: list[str], path: str, tls: ssl.SSLContext | None = None, method: str = "GET"
) -> Any:
    """Ask for `path` at the first node that answers; the decoded JSON.

    Raises:
        NodeUnreachable: none gave an answer.
    """
    timeout = aiohttp.ClientTimeout(total=NODE_TIMEOUT_S)
    problems = []
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for node in nodes:
            try:
                scheme = "https" if tls else "http"
                url = f"{scheme}://{node}{path}"
                async with session.request(method, url, ssl=tls or True) as answer:
                    content = await answer.json(content_type=None)
                    if answer.status == 200:
                        return content
                    problems.append(f"{node}: {content.get('detail', answer.status)}")
            except (aiohttp.ClientError, TimeoutError, ValueError) as error:
                problems.append(f"{node}: {type(error).__name__}")
    raise NodeUnreachable("; ".join(problems))


def print_json(content: Any) -> None:
    """Print indented JSON."""
    print(json.dumps(content, indent=2, sort_keys=True, default=str))
