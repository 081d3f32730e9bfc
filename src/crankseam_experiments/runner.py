"""Runs one experiment with separate processes: load, faults, audit, report.

This module defines the order of the phases of a run and the criterion by which a control run
passes. `experiment_run` holds the state of the run.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

from crankseam.config.kinds import Document, SamplerPool, Trainer
from crankseam.errors import CrankseamError
from crankseam_experiments.experiment_run import ExperimentRun
from crankseam_experiments.fault_injection import FaultInjector
from crankseam_experiments.report import build_report
from crankseam_experiments.spec import Experiment, Policy
from crankseam_experiments.weakened_node import WEAKENINGS

CONTROL_FAULTS = 6
"""Number of faults in a control run; each one exposes the missing mechanism."""
CONTROL_IN_FORCE_S = 5.0
"""Maximum seconds until a change is in force in a control run.

The 15 s of other runs would hide the missing mechanism.
"""
LOAD_TIMEOUT_S = 400.0
"""Maximum wait for all clients and faults to finish; the run fails after this."""


async def run_load(run: ExperimentRun) -> None:
    """Start the clients, inject faults and wait until all clients and faults have finished."""
    run.plan_clients()
    for client in run.clients.values():
        await client.start()
    watch = asyncio.create_task(run.watch_nodes())
    injector = FaultInjector(run)
    faults = asyncio.create_task(injector.run())
    try:
        async with asyncio.timeout(LOAD_TIMEOUT_S):
            await asyncio.gather(*(_wait_for_client(run, n, injector) for n in run.clients))
            await faults
    finally:
        faults.cancel()
        watch.cancel()
        await injector.finish()
        for client in run.clients.values():
            if client.is_running():
                await client.kill()
    run.injected = injector.injected
    run.recovery_seconds = injector.recovery_seconds


async def _wait_for_client(run: ExperimentRun, name: str, injector: FaultInjector) -> None:
    client = run.clients[name]
    code = await client.wait()
    while code != 0 and injector.consume_restart(name):
        while not client.is_running():
            await asyncio.sleep(0.05)
        code = await client.wait()
    run.clients_done[name] = code == 0


def weaken_experiment(spec: Experiment, promise: str) -> Experiment:
    """Derive the control run for `promise`, with only the faults that expose its violation."""
    assert spec.faults is not None
    weakening = WEAKENINGS[promise]
    faults = spec.faults.model_copy(
        update={
            "kinds": list(weakening.faults),
            "count": CONTROL_FAULTS,
            "in_force_seconds": CONTROL_IN_FORCE_S,
        }
    )
    update: dict[str, Any] = {"faults": faults}
    if weakening.app_work_seconds is not None:
        update["app_work_seconds"] = weakening.app_work_seconds
    if weakening.time_scale is not None:
        slower = spec.samplers.model_copy(update={"time_scale": weakening.time_scale})
        update["samplers"] = slower
    return spec.model_copy(update=update)


def with_policy(document: Document, policy: Policy) -> Document:
    """Return the document with the overrides of `policy` applied."""
    if isinstance(document, Trainer):
        update: dict[str, Any] = {"sample_order": policy.sample_order}
        if policy.idle_weight is not None:
            update["idle_weight"] = policy.idle_weight
        return document.model_copy(update=update)
    if isinstance(document, SamplerPool):
        return document.model_copy(update={"routing": policy.routing})
    return document


def evaluate_control_run(report: dict[str, Any], promise: str) -> None:
    """Mark a control run as passed if the auditor found a violation of `promise`."""
    finding = next(item for item in report["promises"] if item["name"] == promise)
    report["weakened"] = promise
    report["passed"] = finding["violations"] > 0
    report["summary"]["weakened"] = promise
    report["summary"]["caught"] = finding["violations"]


async def run_processes(
    spec: Experiment,
    folder: Path,
    seed: int,
    out: Path,
    weakened: str | None = None,
    policy: Policy | None = None,
) -> dict[str, Any]:
    """Run the experiment to completion and return its report.

    Args:
        weakened: a promise whose mechanism is switched off on every node.
        policy: overrides of the configuration, for comparisons.
    """
    if weakened is not None:
        spec = weaken_experiment(spec, weakened)
    for old in out.glob("*.account.jsonl"):
        old.unlink()
    run = ExperimentRun(spec, folder, seed, out, weakened)
    if policy is not None:
        run.fleet.documents = [with_policy(item, policy) for item in run.fleet.documents]
    codes: dict[str, int] = {}
    try:
        await run.fleet.start()
        await run.apply_configuration()
        await run.fleet.wait_until_ready()
        print("fleet is ready", file=sys.stderr)
        await run_load(run)
        await run.measure_control()
        await run.measure_samplers()
        codes = await run.fleet.stop()
    except (CrankseamError, TimeoutError) as error:
        print(f"run failed: {type(error).__name__}: {error}", file=sys.stderr)
        codes["run"] = 1
    finally:
        await run.fleet.kill_all()
    report = build_report(run, codes)
    if weakened is not None:
        evaluate_control_run(report, weakened)
    return report
