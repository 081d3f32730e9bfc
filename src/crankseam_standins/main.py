"""The `crankseam-standin` command: runs one emulated external system per process."""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import json
import signal
import sys
from pathlib import Path

import uvloop
from aiohttp import web

from crankseam_standins.account import Account
from crankseam_standins.app import AppStandin
from crankseam_standins.caller import CallerPlan, CallerStandin
from crankseam_standins.key_value import KeyValueStandin
from crankseam_standins.machine_list import MachineListStandin
from crankseam_standins.sampler import SamplerStandin
from crankseam_standins.sampler_parameters import SamplerParameters
from crankseam_standins.trainer import TrainerPlan, TrainerStandin
from crankseam_standins.weight_store import WeightStoreStandin


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="crankseam-standin", description=__doc__)
    kinds = parser.add_subparsers(dest="kind", required=True)
    for kind in ("key-value", "machine-list", "weight-store", "sampler", "app"):
        server = kinds.add_parser(kind)
        server.add_argument("--host", default="127.0.0.1")
        server.add_argument("--port", type=int, required=True)
        server.add_argument("--name", default=kind)
        server.add_argument("--account", type=Path)
        server.add_argument("--lag", type=float, default=0.5)
        server.add_argument("--work-seconds", type=float, default=0.005)
        server.add_argument("--time-scale", type=float, default=1.0)
        server.add_argument("--version", type=int, default=1)
        server.add_argument("--median-length", type=int, default=200)
        server.add_argument("--max-running", type=int, default=64)
        server.add_argument("--chunk-tokens", type=int, default=8)
    for kind in ("trainer", "caller"):
        client = kinds.add_parser(kind)
        client.add_argument("--plan", required=True, help="the plan as JSON")
        client.add_argument("--account", type=Path)
    return parser


def _build_application(arguments: argparse.Namespace) -> web.Application:
    account = Account(arguments.account)
    if arguments.kind == "key-value":
        return KeyValueStandin().application()
    if arguments.kind == "machine-list":
        return MachineListStandin(arguments.lag).application()
    if arguments.kind == "weight-store":
        return WeightStoreStandin().application()
    if arguments.kind == "app":
        return AppStandin(arguments.name, arguments.work_seconds, account).application()
    parameters = SamplerParameters(
        time_scale=arguments.time_scale,
        median_length=arguments.median_length,
        max_running=arguments.max_running,
        chunk_tokens=arguments.chunk_tokens,
    )
    return SamplerStandin(arguments.name, parameters, arguments.version, account).application()


async def _serve(arguments: argparse.Namespace) -> None:
    runner = web.AppRunner(_build_application(arguments), access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    await web.TCPSite(runner, arguments.host, arguments.port, backlog=1024).start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    await runner.cleanup()


async def _run_client(arguments: argparse.Namespace) -> None:
    plan = json.loads(arguments.plan)
    if arguments.kind == "trainer":
        report = await TrainerStandin(TrainerPlan(**plan), arguments.account).run()
        print(json.dumps(dataclasses.asdict(report)))
        return
    caller = CallerStandin(CallerPlan(**plan), Account(arguments.account))
    print(json.dumps(dataclasses.asdict(await caller.run())))


def main() -> int:
    """Run one stand-in: a server until SIGTERM or SIGINT, a client until its plan is complete."""
    arguments = _build_parser().parse_args()
    work = _run_client if arguments.kind in ("trainer", "caller") else _serve
    uvloop.install()
    asyncio.run(work(arguments))
    return 0


if __name__ == "__main__":
    sys.exit(main())
