"""Compares the stand-ins' account logs with the answers that callers and trainers received.

The auditor does not rely on records of the system under test. It reads only the account logs that
the stand-ins wrote and the experiment's record of the faults and changes that it applied.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from crankseam_standins.sampler import token_at

PROMISES = (
    "true_weight_versions",
    "staleness_bound",
    "sample_exactly_once",
    "whole_answer",
    "not_run_means_not_run",
    "at_most_once",
    "leaving_gets_no_work",
    "planned_stop_cuts_nothing",
    "config_in_force_never_reverts",
)
LEAVING_GRACE_S = 2.0
"""Seconds after a back end starts to report that it is leaving during which new work is allowed."""
MAX_EXAMPLES = 5
"""Maximum number of violations of one promise that a report describes."""

Entry = dict[str, Any]


@dataclass
class Finding:
    """Result of the checks of one promise: counts of checks and violations, and examples."""

    name: str
    checks: int = 0
    violations: int = 0
    examples: list[str] = field(default_factory=list)

    def check(self, holds: bool, example: str) -> None:
        """Count one check; keep the first `MAX_EXAMPLES` violations as examples for the report."""
        self.checks += 1
        if not holds:
            self.violations += 1
            if len(self.examples) < MAX_EXAMPLES:
                self.examples.append(example)


@dataclass
class Window:
    """Period in which an action affected `target`; `begin` and `end` are wall-clock seconds."""

    target: str
    begin: float
    end: float


@dataclass
class RevisionSample:
    """Configuration revision and readiness that one node reported at one time."""

    at: float
    node: str
    ready: bool
    revision: int
    identity: str = ""


@dataclass
class Evidence:
    """All input of the auditor: account logs, expected prompts, applied actions and samples."""

    callers: list[Entry] = field(default_factory=list)
    apps: dict[str, list[Entry]] = field(default_factory=dict)
    samplers: dict[str, list[Entry]] = field(default_factory=dict)
    trainer: list[Entry] = field(default_factory=list)
    staleness_bound: int = 0
    trainer_name: str = ""
    prompts: dict[tuple[int, int], str] = field(default_factory=dict)
    leaving: list[Window] = field(default_factory=list)
    planned_stops: list[Window] = field(default_factory=list)
    revisions: list[RevisionSample] = field(default_factory=list)
    accepted: list[tuple[float, int]] = field(default_factory=list)
    in_force_seconds: float = 3.0


def audit(evidence: Evidence) -> list[Finding]:
    """Check every promise; the findings are in the order of PROMISES."""
    findings = {name: Finding(name) for name in PROMISES}
    _check_samples(evidence, findings)
    _check_deliveries(evidence, findings["sample_exactly_once"])
    _check_answers(evidence, findings)
    _check_executions(evidence, findings)
    _check_leaving(evidence, findings["leaving_gets_no_work"])
    _check_planned_stops(evidence, findings["planned_stop_cuts_nothing"])
    _check_revisions(evidence, findings["config_in_force_never_reverts"])
    return [findings[name] for name in PROMISES]


# --- samples


def _generated_versions(evidence: Evidence) -> dict[str, dict[int, set[int]]]:
    """Map each request to the weight versions that generated each token position on any sampler."""
    generated: dict[str, dict[int, set[int]]] = defaultdict(lambda: defaultdict(set))
    for entries in evidence.samplers.values():
        for entry in entries:
            if "arrived" in entry:
                continue
            positions = generated[entry["request"]]
            for position in range(entry["start"], entry["end"]):
                positions[position].add(entry["version"])
    return generated


def _check_samples(evidence: Evidence, findings: dict[str, Finding]) -> None:
    generated = _generated_versions(evidence)
    for entry in evidence.trainer:
        if entry["event"] != "sample":
            continue
        request = f"{evidence.trainer_name}/{entry['step']}/{entry['index']}"
        segments_match = _segments_match_generation(entry, generated.get(request, {}))
        findings["true_weight_versions"].check(segments_match, f"{request}: {entry['segments']}")
        oldest = min(segment[0] for segment in entry["segments"])
        fresh = oldest >= entry["trainer_version"] - evidence.staleness_bound
        example = f"{request}: version {oldest} for a trainer at {entry['trainer_version']}"
        findings["staleness_bound"].check(fresh, example)
        prompt = evidence.prompts.get((entry["step"], entry["index"]))
        if prompt is not None:
            whole = all(token_at(prompt, i) == t for i, t in enumerate(entry["tokens"]))
            findings["whole_answer"].check(whole, f"{request}: tokens of another sample")


def _segments_match_generation(entry: Entry, generated: dict[int, set[int]]) -> bool:
    expected = 0
    for version, start, end in entry["segments"]:
        if start != expected:
            return False
        if any(version not in generated.get(position, ()) for position in range(start, end)):
            return False
        expected = end
    return expected == len(entry["tokens"])


def _check_deliveries(evidence: Evidence, finding: Finding) -> None:
    opened = {e["step"]: e["samples"] for e in evidence.trainer if e["event"] == "opened"}
    received: dict[tuple[int, int], int] = defaultdict(int)
    for entry in evidence.trainer:
        if entry["event"] == "sample":
            received[entry["step"], entry["index"]] += 1
    for step, samples in opened.items():
        for index in range(samples):
            count = received[step, index]
            finding.check(count == 1, f"step {step} sample {index} came {count} times")


# --- requests


def _check_answers(evidence: Evidence, findings: dict[str, Finding]) -> None:
    for entry in evidence.callers:
        if entry["event"] == "told" and entry["outcome"] in ("answered", "wrong_answer"):
            whole = entry["outcome"] == "answered"
            findings["whole_answer"].check(whole, f"request {entry['request']}")


def _check_executions(evidence: Evidence, findings: dict[str, Finding]) -> None:
    runs_by_request: dict[str, list[float]] = defaultdict(list)
    runs_by_operation: dict[str, list[float]] = defaultdict(list)
    for entries in evidence.apps.values():
        for entry in entries:
            runs_by_request[entry["request"]].append(entry["at"])
            runs_by_operation[entry["operation"]].append(entry["at"])
    operations = set()
    for entry in evidence.callers:
        if entry["event"] != "told":
            continue
        if not entry["read"]:
            operations.add(entry["operation"])
        if entry["outcome"] == "not_run":
            ran = bool(runs_by_request[entry["request"]])
            if not entry["read"]:
                told_at = entry["told_at"]
                ran = ran or any(at < told_at for at in runs_by_operation[entry["operation"]])
            example = f"request {entry['request']} of {entry['operation']}"
            findings["not_run_means_not_run"].check(not ran, example)
    for operation in operations:
        count = len(runs_by_operation[operation])
        findings["at_most_once"].check(count <= 1, f"operation {operation} ran {count} times")


# --- leaving and stopping


def _check_leaving(evidence: Evidence, finding: Finding) -> None:
    for window in evidence.leaving:
        entries = evidence.apps.get(window.target) or evidence.samplers.get(window.target, [])
        arrivals = [e["at"] for e in entries if "arrived" in e or "operation" in e]
        late = [at for at in arrivals if window.begin + LEAVING_GRACE_S < at < window.end]
        example = f"{window.target} got {len(late)} requests after it was leaving"
        finding.check(not late, example)


def _check_planned_stops(evidence: Evidence, finding: Finding) -> None:
    for window in evidence.planned_stops:
        for entry in evidence.callers:
            if entry["event"] != "told" or entry["node"] != window.target:
                continue
            if entry["told_at"] < window.begin or entry["sent_at"] > window.end:
                continue
            example = f"request {entry['request']} was cut off by the stop of {window.target}"
            finding.check(entry["outcome"] != "broken", example)


# --- configuration


def _check_revisions(evidence: Evidence, finding: Finding) -> None:
    highest: dict[str, int] = {}
    for sample in sorted(evidence.revisions, key=lambda item: item.at):
        if not sample.ready:
            continue
        seen = highest.get(sample.node, 0)
        example = f"{sample.node} went from revision {seen} to {sample.revision}"
        finding.check(sample.revision >= seen, example)
        highest[sample.node] = max(seen, sample.revision)
        due = [
            revision
            for at, revision in evidence.accepted
            if at + evidence.in_force_seconds < sample.at
        ]
        required = max(due, default=0)
        example = f"{sample.node} serves revision {sample.revision}, {required} is in force"
        finding.check(sample.revision >= required, example)
