"""Run one serving node.

Settings are read from a TOML file, and flags override them. SIGTERM and SIGINT start a graceful
shutdown.
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

SETTING_FLAGS = {
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
    """Add flags for the settings file and for the settings that flags can override."""
    parser.add_argument("--settings", type=Path, help="TOML file")
    parser.add_argument("--print-settings", action="store_true", help="print and exit")
    parser.add_argument("--key-value", action="append", metavar="HOST:PORT")
    parser.add_argument("--seed", action="append", dest="seeds", metavar="HOST:PORT")
    for name, kind in SETTING_FLAGS.items():
        parser.add_argument(f"--{name.replace('_', '-')}", type=kind)


async def serve(settings: NodeSettings) -> int:
    """Serve until a signal arrives or a background task of the node fails.

    Returns:
        The exit code.
    """
    node = Node(settings)
    await node.start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node.agent.tasks.on_failure = stop.set
    await stop.wait()
    if node.agent.tasks.failed:
        # A node must not continue to serve after one of its controllers has failed.
        await node.close()
        return exit_codes.FAILED
    await node.stop_gracefully()
    return exit_codes.OK


def run(arguments: argparse.Namespace) -> int:
    """Load the settings and serve, or print them with `--print-settings`."""
    names = [*SETTING_FLAGS, "key_value", "seeds"]
    overrides = {name: getattr(arguments, name) for name in names}
    settings = load_settings(arguments.settings, overrides)
    if arguments.print_settings:
        print_json(settings.model_dump(mode="json"))
        return exit_codes.OK
    configure_logging(settings.name, settings.log_level)
    uvloop.install()
    # `serve` handles the signals itself, because a graceful shutdown takes longer than the
    # time limit of the aiomisc entry point.
    with aiomisc.entrypoint(log_config=False, catch_signals=()) as loop:
        return loop.run_until_complete(serve(settings))
