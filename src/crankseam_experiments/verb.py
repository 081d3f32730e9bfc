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
from crankseam_experiments.spec import load_experiment
from crankseam_experiments.weakened_node import WEAKENINGS

PLATFORM_FOLDER = Path(__file__).parents[2] / "platform"
"""The `platform` folder of the checkout in which this package is installed."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the actions `run`, `journal`, `losses` and `soak` with their arguments."""
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
    journal = actions.add_parser("journal", help="plot the scores of the measured rounds")
    journal.add_argument("--folder", type=Path, default=Path("journal"))
    journal.add_argument("--out", type=Path, required=True, help="picture to write")
    losses = actions.add_parser("losses", help="where a played day's worth went")
    losses.add_argument("--report", type=Path, required=True, help="the day's report")
    losses.add_argument("--log", type=Path, required=True, help="its log, of all machines")
    soak = actions.add_parser("soak", help="the deployed programs under drawn faults, no bench")
    soak.add_argument("--minutes", type=float, default=1.0)
    soak.add_argument("--seed", type=int, default=1)
    soak.add_argument("--weaken", default="", help="control run: passes if the soak notices")
    soak.add_argument(
        "--fronts", type=int, default=4, help="from 13 on, few of them watch the store for all"
    )
    soak.add_argument(
        "--culprits", type=int, default=3, help="callers of requests that end their samplers"
    )
    soak.add_argument("--regressions", type=Path, help="run the seeds of this file instead")
    soak.add_argument("--out", type=Path, required=True, help="folder for report, plot and logs")


def run(arguments: argparse.Namespace) -> int:
    """Execute the selected action and return its exit status.

    All actions except `losses` print a one-line JSON summary last.
    """
    if arguments.action == "soak":
        return _soak(arguments)
    if arguments.action == "journal":
        return _journal(arguments)
    if arguments.action == "losses":
        return _losses(arguments)
    return _experiment(arguments)


def _experiment(arguments: argparse.Namespace) -> int:
    """Run one experiment file and write its report."""
    spec = load_experiment(arguments.file)
    arguments.out.mkdir(parents=True, exist_ok=True)
    out = arguments.out.resolve()
    folder = arguments.file.resolve().parent
    if spec.kind == "latency":
        report = asyncio.run(run_latency(spec, folder, arguments.seed, out))
    elif spec.policies:
        report = asyncio.run(run_comparison(spec, folder, arguments.seed, out))
    else:
        report = asyncio.run(run_processes(spec, folder, arguments.seed, out, arguments.weaken))
    (out / "report.json").write_text(json.dumps(report, indent=2) + "\n", encoding="utf-8")
    print(json.dumps(report["summary"], sort_keys=True))
    if not report["passed"]:
        print(f"failed: see {arguments.out / 'report.json'}", file=sys.stderr)
        return exit_codes.FAILED
    return exit_codes.OK


def _find_platform_packages() -> None:
    """Add `platform/` to the import path; only `journal`, `losses` and `soak` need it."""
    sys.path.insert(0, str(PLATFORM_FOLDER))


def _journal(arguments: argparse.Namespace) -> int:
    """Plot the scores recorded in the journal."""
    _find_platform_packages()
    from crankseam_platform_bench.journal_plot import plot_journal

    print(json.dumps(plot_journal(arguments.folder, arguments.out), sort_keys=True))
    return exit_codes.OK


def _losses(arguments: argparse.Namespace) -> int:
    """Print the breakdown of lost value over one emulated day."""
    _find_platform_packages()
    from crankseam_platform_bench.losses import format_losses, read_jobs, read_report

    print(format_losses(read_report(arguments.report), read_jobs(arguments.log)))
    return exit_codes.OK


def _soak(arguments: argparse.Namespace) -> int:
    """Run one soak, or every seed listed in the regressions file."""
    _find_platform_packages()
    from crankseam_platform_standins.soak.run import regression_seeds, run_soak

    seconds = arguments.minutes * 60.0
    runs = [(arguments.seed, seconds)]
    if arguments.regressions:
        regressions = regression_seeds(arguments.regressions)
        runs = [(entry["seed"], entry["seconds"]) for entry in regressions]
    passed = True
    for seed, length in runs:
        out = arguments.out.resolve() / f"seed-{seed}"
        report = run_soak(length, seed, out, arguments.weaken, arguments.fronts, arguments.culprits)
        print(json.dumps({"seed": seed, **report["summary"]}, sort_keys=True))
        passed = passed and report["passed"]
    return exit_codes.OK if passed else exit_codes.FAILED
