"""Run experiments: `bench run FILE --seed N --out DIR` writes DIR/report.json.

Exit status 1 on any violated promise or failed run.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from pathlib import Path

from crankseam.cli import exit_codes
from crankseam_experiments.comparison import run_comparison
from crankseam_experiments.latency import run_latency
from crankseam_experiments.runner import run_processes
from crankseam_experiments.scale import run_scale
from crankseam_experiments.slopes import run_slopes
from crankseam_experiments.spec import ScaleExperiment, SlopesExperiment, load_experiment
from crankseam_experiments.weakened_node import WEAKENINGS


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """`run` and its arguments."""
    actions = parser.add_subparsers(dest="action", required=True)
    action = actions.add_parser("run", help="run one experiment file")
    action.add_argument("file", type=Path)
    action.add_argument("--seed", type=int, default=1)
    action.add_argument(
        "--weaken",
        choices=sorted(WEAKENINGS),
        help="control run: switch this promise's mechanism off; passes if the auditor notices",
    )
    action.add_argument("--out", type=Path, required=True, help="folder for report and logs")


def run(arguments: argparse.Namespace) -> int:
    """Run and report; the last line printed is a one-line JSON summary."""
    spec = load_experiment(arguments.file)
    arguments.out.mkdir(parents=True, exist_ok=True)
    out = arguments.out.resolve()
    if isinstance(spec, ScaleExperiment):
        report = asyncio.run(run_scale(spec, arguments.seed, out))
    elif isinstance(spec, SlopesExperiment):
        report = asyncio.run(run_slopes(spec, out))
    elif spec.kind == "latency":
        folder = arguments.file.resolve().parent
        report = asyncio.run(run_latency(spec, folder, arguments.seed, out))
    elif spec.policies:
        folder = arguments.file.resolve().parent
        report = asyncio.run(run_comparison(spec, folder, arguments.seed, out))
    else:
        folder = arguments.file.resolve().parent
        report = asyncio.run(run_processes(spec, folder, arguments.seed, out, arguments.weaken))
    (out / "report.json").write_text(json.dumps(report, indent=2) + "\n", encoding="utf-8")
    print(json.dumps(report["summary"], sort_keys=True))
    if not report["passed"]:
        print(f"failed: see {arguments.out / 'report.json'}", file=sys.stderr)
        return exit_codes.FAILED
    return exit_codes.OK
