"""Run one serving node.

Settings come from a TOML file, flags override them. SIGTERM and SIGINT make a planned stop.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
from pathlib import Path

import aiomisc
import uvloop

from crankseam.cli import exit_codes
from crankseam.cli.common import print_json
from crankseam.logs import configure_logging
from crankseam.node import Node
from crankseam.settings import NodeSettings, load_settings

FLAGS = {
    "name": str,
    "region": str,
    "zone": str,
    "listen_host": str,
    "caller_port": int,
    "peer_port": int,
    "advertise_peer": str,
    "bind_outgoing": str,
    "machine_list": str,
    "data_folder": Path,
    "record_slots": int,
    "log_level": str,
}


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """A settings file and a flag for each plain setting."""
    parser.add_argument("--settings", type=Path, help="TOML file")
    parser.add_argument("--print-settings", action="store_true", help="print and exit")
    parser.add_argument("--key-value", action="append", metavar="HOST:PORT")
    parser.add_argument("--seed", action="append", dest="seeds", metavar="HOST:PORT")
    for name, kind in FLAGS.items():
        parser.add_argument(f"--{name.replace('_', '-')}", type=kind)


async def serve(settings: NodeSettings) -> int:
    """Serve until a signal comes or a part of the node fails; returns the exit code."""
    node = Node(settings)
    await node.start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node.agent.tasks.on_failure = stop.set
    await stop.wait()
    if node.agent.tasks.failed:
        # A node without one of its controllers must not go on serving.
        await node.close()
        return exit_codes.FAILED
    await node.stop_gracefully()
    return exit_codes.OK


def run(arguments: argparse.Namespace) -> int:
    """Serve until a signal comes."""
    names = [*FLAGS, "key_value", "seeds"]
    overrides = {name: getattr(arguments, name) for name in names}
    settings = load_settings(arguments.settings, overrides)
    if arguments.print_settings:
        print_json(settings.model_dump(mode="json"))
        return exit_codes.OK
    configure_logging(settings.name, settings.log_level)
    uvloop.install()
    # Signals are the node's own business: a planned stop takes longer than the entry point grants.
    with aiomisc.entrypoint(log_config=False, catch_signals=()) as loop:
        return loop.run_until_complete(serve(settings))
