"""Builds the report of one run from its evidence and the figures that its clients printed.

Times are in seconds unless a name ends in `_ms`; staleness in versions is a count. A run passes if
every sample was delivered exactly once, no promise was violated, and every client and node exited
with status 0.
"""

from __future__ import annotations

import dataclasses
import statistics
from typing import Any

from crankseam_experiments.auditor import Evidence, Finding, audit
from crankseam_experiments.experiment_run import ExperimentRun


def _percentile(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def _idle_fraction_after_first_step(trainer: dict[str, Any]) -> float | None:
    """Idle fraction after the first step; the wait for the first step is equal for all policies."""
    idle = trainer.get("idle", 0.0) - trainer.get("first_idle", 0.0)
    total = idle + trainer.get("training", 0.0)
    return idle / total if total else None


def _spread(values: list[float]) -> dict[str, float]:
    return {
        "p50": _percentile(values, 0.5),
        "p99": _percentile(values, 0.99),
        "max": max(values, default=0.0),
    }


def _staleness_seconds(evidence: Evidence) -> list[float]:
    """For each sample, the time from the replacement of its oldest version to its training."""
    replaced_at = {
        entry["version"] - 1: entry["at"]
        for entry in evidence.trainer
        if entry["event"] == "version"
    }
    trained_at = {e["step"]: e["at"] for e in evidence.trainer if e["event"] == "trained"}
    seconds = []
    for entry in evidence.trainer:
        if entry["event"] != "sample" or entry["step"] not in trained_at:
            continue
        oldest = min(segment[0] for segment in entry["segments"])
        at = trained_at[entry["step"]]
        seconds.append(max(0.0, at - replaced_at.get(oldest, at)))
    return seconds


def _summarise(run: ExperimentRun, findings: list[Finding], evidence: Evidence) -> dict[str, Any]:
    final_results = [e for e in evidence.callers if e["event"] == "final"]
    samples = [(e["step"], e["index"]) for e in evidence.trainer if e["event"] == "sample"]
    requested = sum(e["samples"] for e in evidence.trainer if e["event"] == "opened")
    answered = sum(e["outcome"] == "answered" for e in final_results)
    return {
        "requests_sent": len(final_results),
        "requests_answered": answered,
        "requests_unanswered": len(final_results) - answered,
        "samples_asked": requested,
        "samples_delivered": len(set(samples)),
        "duplicates": len(samples) - len(set(samples)),
        "lost": requested - len(set(samples)),
        "violations": sum(finding.violations for finding in findings),
    }


def build_report(run: ExperimentRun, codes: dict[str, int]) -> dict[str, Any]:
    """Build the report of a run that has ended.

    Args:
        codes: exit codes of the nodes at their planned stop.
    """
    evidence = run.collect_evidence()
    findings = audit(evidence)
    summary = _summarise(run, findings, evidence)
    return {
        "name": run.spec.name,
        "seed": run.seed,
        "time_scale": run.spec.samplers.time_scale,
        "summary": summary,
        "promises": [dataclasses.asdict(finding) for finding in findings],
        "faults": run.injected,
        "recovery_seconds": _recovery_figures(run.recovery_seconds),
        **_app_figures(run.client_report("caller")),
        **_trainer_figures(run.client_report("trainer")),
        "staleness_seconds": _spread(_staleness_seconds(evidence)),
        "tokens": run.sampler_totals,
        "control": run.control,
        "node_exit_codes": codes,
        "clients_done": run.clients_done,
        "passed": _has_passed(run, summary, codes),
    }


def _recovery_figures(seconds: list[float]) -> dict[str, float | None]:
    return {
        "count": len(seconds),
        "median": statistics.median(seconds) if seconds else None,
        "max": max(seconds, default=None),
    }


def _app_figures(caller: dict[str, Any]) -> dict[str, Any]:
    latencies = caller.get("latencies", [])
    return {
        "outcomes": caller.get("outcomes", {}),
        "app_latency_ms": {
            "p50": _percentile(latencies, 0.5) * 1000,
            "p99": _percentile(latencies, 0.99) * 1000,
        },
    }


def _trainer_figures(trainer: dict[str, Any]) -> dict[str, Any]:
    total = trainer.get("idle", 0.0) + trainer.get("training", 0.0)
    step_seconds = trainer.get("step_seconds", [])
    return {
        "trainer_idle_fraction": trainer.get("idle", 0.0) / total if total else None,
        "trainer_idle_fraction_running": _idle_fraction_after_first_step(trainer),
        "staleness_versions": _spread(trainer.get("staleness", [])),
        "step_seconds": {
            "p50": _percentile(step_seconds, 0.5),
            "p99": _percentile(step_seconds, 0.99),
        },
        "trainer_reconnects": trainer.get("reconnects"),
    }


def _has_passed(run: ExperimentRun, summary: dict[str, Any], codes: dict[str, int]) -> bool:
    """Whether samples came exactly once, no promise was violated and all exit codes are 0."""
    completed = summary["lost"] == 0 and all(run.clients_done.get(name) for name in run.clients)
    return (
        completed
        and summary["violations"] == 0
        and summary["duplicates"] == 0
        and all(code == 0 for code in codes.values())
    )
