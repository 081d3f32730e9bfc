"""Arguments and helpers that several verbs share.

This module defines the names and help texts of the shared flags. An operator's query may go to any
node; the nodes are tried in the given order, and the first successful response is used.
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
"""Time limit for the response of one node, after which the next node is tried."""


class NodeUnreachable(CrankseamError):
    """No node returned a successful response to an operator's query."""


def add_files(parser: argparse.ArgumentParser) -> None:
    """Add the positional argument for the declarative files or folders."""
    parser.add_argument("files", nargs="+", type=Path, help="YAML files or folders of them")


def add_key_value(parser: argparse.ArgumentParser) -> None:
    """Add the flag for the addresses of the key-value service."""
    parser.add_argument(
        "--key-value",
        action="append",
        required=True,
        metavar="HOST:PORT",
        help="key-value service; may be given several times",
    )


def add_node(parser: argparse.ArgumentParser, required: bool = True) -> None:
    """Add the flags for the nodes to query and for TLS towards them."""
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
    """Return the TLS context for connections to nodes, or None without `--tls-authority`."""
    if arguments.tls_authority is None:
        return None
    context = ssl.create_default_context(cafile=str(arguments.tls_authority))
    # Nodes are reached by IP address: the certificate chain is verified, the host name is not.
    context.check_hostname = False
    if arguments.tls_certificate is not None:
        context.load_cert_chain(arguments.tls_certificate, arguments.tls_key)
    return context


def add_json(parser: argparse.ArgumentParser) -> None:
    """Add the flag for JSON output."""
    parser.add_argument("--json", action="store_true", help="print JSON")


def with_key_value(endpoints: list[str], operation: Callable[[KeyValueClient], Awaitable[T]]) -> T:
    """Run `operation` with a client of the key-value service, which is closed afterwards."""

    async def run() -> T:
        client = KeyValueClient(endpoints)
        try:
            return await operation(client)
        finally:
            await client.close()

    return asyncio.run(run())


async def ask_nodes(
    nodes: list[str], path: str, tls: ssl.SSLContext | None = None, method: str = "GET"
) -> Any:
    """Request `path` from each node in turn and return the first successful response's JSON.

    Raises:
        NodeUnreachable: no node responded with status 200; the message names each failure.
    """
    timeout = aiohttp.ClientTimeout(total=NODE_TIMEOUT_S)
    failures = []
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for node in nodes:
            try:
                scheme = "https" if tls else "http"
                url = f"{scheme}://{node}{path}"
                async with session.request(method, url, ssl=tls or True) as answer:
                    content = await answer.json(content_type=None)
                    if answer.status == 200:
                        return content
                    failures.append(f"{node}: {content.get('detail', answer.status)}")
            except (aiohttp.ClientError, TimeoutError, ValueError) as error:
                failures.append(f"{node}: {type(error).__name__}")
    raise NodeUnreachable("; ".join(failures))


def print_json(content: Any) -> None:
    """Print `content` as indented JSON with sorted keys."""
    print(json.dumps(content, indent=2, sort_keys=True, default=str))
