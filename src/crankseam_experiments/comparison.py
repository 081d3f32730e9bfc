"""Runs the same load under several policies with the same seeds and compares the results.

This module computes the medians and the paired ratios; `runner` executes each run. The report is
written after each seed, so that an interrupted comparison keeps the results of finished seeds.
"""

from __future__ import annotations

import json
import statistics
import sys
from pathlib import Path
from typing import Any

from crankseam_experiments.plots import write_comparison_report
from crankseam_experiments.runner import run_processes
from crankseam_experiments.spec import Experiment, Policy

BASELINE = "least_load"
ORACLE = "oracle"
SYSTEM = "crankseam"
IDLE_AFTER_FIRST_STEP_FIELD = "trainer_idle_fraction_running"


async def run_comparison(
    spec: Experiment, folder: Path, first_seed: int, out: Path
) -> dict[str, Any]:
    """Run every policy with every seed; write the report and an HTML page with plots.

    Both files are written after each seed, so that an interrupted comparison keeps the results of
    finished seeds.
    """
    runs: dict[str, list[dict[str, Any]]] = {policy.name: [] for policy in spec.policies}
    report: dict[str, Any] = {}
    for seed in range(first_seed, first_seed + spec.seeds):
        for policy in spec.policies:
            run_report = await _run_one(spec, folder, seed, out, policy)
            runs[policy.name].append(run_report)
            idle = run_report[IDLE_AFTER_FIRST_STEP_FIELD]
            print(f"seed {seed} {policy.name}: idle {idle}", file=sys.stderr, flush=True)
        report = _build_report(spec, first_seed, seed, runs)
        (out / "report.json").write_text(json.dumps(report, indent=2) + "\n", encoding="utf-8")
        write_comparison_report(report, runs, out)
    return report


def _build_report(
    spec: Experiment, first_seed: int, last_seed: int, runs: dict[str, list[dict[str, Any]]]
) -> dict[str, Any]:
    policies = {name: _summarise_policy(reports) for name, reports in runs.items()}
    return {
        "name": spec.name,
        "time_scale": spec.samplers.time_scale,
        "seeds": list(range(first_seed, last_seed + 1)),
        "policies": policies,
        "paired": _paired_idle_ratios(runs),
        "promises": _sum_promises(runs),
        "summary": {
            name: {
                "idle": policy["trainer_idle_fraction"]["median"],
                "idle_running": policy[IDLE_AFTER_FIRST_STEP_FIELD]["median"],
                "staleness": policy["staleness_versions"],
            }
            for name, policy in policies.items()
        },
        "passed": all(item["passed"] for reports in runs.values() for item in reports),
    }


async def _run_one(
    spec: Experiment, folder: Path, seed: int, out: Path, policy: Policy
) -> dict[str, Any]:
    run_out = out / f"{policy.name}-{seed}"
    run_out.mkdir(parents=True, exist_ok=True)
    if policy.hints and spec.trainer is not None:
        trainer = spec.trainer.model_copy(update={"hints": True})
        spec = spec.model_copy(update={"trainer": trainer})
    return await run_processes(spec, folder, seed, run_out, policy=policy)


def _spread(values: list[float]) -> dict[str, float]:
    return {
        "median": round(statistics.median(values), 4),
        "min": round(min(values), 4),
        "max": round(max(values), 4),
    }


def _summarise_policy(reports: list[dict[str, Any]]) -> dict[str, Any]:
    return {
        "trainer_idle_fraction": _spread([r["trainer_idle_fraction"] or 0.0 for r in reports]),
        "trainer_idle_fraction_running": _spread(
            [r[IDLE_AFTER_FIRST_STEP_FIELD] or 0.0 for r in reports]
        ),
        "step_seconds_p50": _spread([r["step_seconds"]["p50"] for r in reports]),
        "step_seconds_p99": _spread([r["step_seconds"]["p99"] for r in reports]),
        "staleness_versions": {
            name: max(r["staleness_versions"][name] for r in reports)
            for name in ("p50", "p99", "max")
        },
        "staleness_seconds": {
            name: round(max(r["staleness_seconds"][name] for r in reports), 2)
            for name in ("p50", "p99", "max")
        },
        "app_latency_ms_p50": _spread([r["app_latency_ms"]["p50"] for r in reports]),
        "app_latency_ms_p99": _spread([r["app_latency_ms"]["p99"] for r in reports]),
        "busy_fraction": _spread([_busy_fraction(r) for r in reports]),
    }


def _busy_fraction(report: dict[str, Any]) -> float:
    """Fraction of the samplers' time spent generating, regardless of the batch size."""
    totals = report["tokens"].values()
    seconds = sum(item["seconds"] for item in totals) * report["time_scale"]
    return sum(item["busy_seconds"] for item in totals) / seconds if seconds else 0.0


def _paired_idle_ratios(runs: dict[str, list[dict[str, Any]]]) -> dict[str, dict[str, float]]:
    """Ratios of the system's idle fraction to that of the baseline and the oracle, per seed."""
    paired = {}
    for other in (BASELINE, ORACLE):
        if SYSTEM in runs and other in runs:
            ratios = [
                (own[IDLE_AFTER_FIRST_STEP_FIELD] or 0.0)
                / max(1e-9, reference[IDLE_AFTER_FIRST_STEP_FIELD] or 0.0)
                for own, reference in zip(runs[SYSTEM], runs[other], strict=True)
            ]
            paired[f"{SYSTEM}/{other}"] = _spread(ratios)
    return paired


def _sum_promises(runs: dict[str, list[dict[str, Any]]]) -> list[dict[str, Any]]:
    totals: dict[str, dict[str, Any]] = {}
    for report in (item for reports in runs.values() for item in reports):
        for promise in report["promises"]:
            total = totals.setdefault(
                promise["name"], {"name": promise["name"], "checks": 0, "violations": 0}
            )
            total["checks"] += promise["checks"]
            total["violations"] += promise["violations"]
    return list(totals.values())
