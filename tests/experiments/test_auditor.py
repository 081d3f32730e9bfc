"""The auditor reports each fabricated violation under its own promise and under no other."""

import copy

import pytest

from crankseam_experiments.auditor import PROMISES, Evidence, RevisionSample, Window, audit
from crankseam_standins.sampler import token_at

PROMPT = "group|prompt"
TOKENS = [token_at(PROMPT, position) for position in range(4)]


def clean_evidence() -> Evidence:
    told = {"event": "told", "node": "n:1", "read": False, "sent_at": 10.0, "told_at": 11.0}
    return Evidence(
        callers=[
            {**told, "operation": "op-1", "request": "r-1", "outcome": "answered"},
            {**told, "operation": "op-2", "request": "r-2", "outcome": "not_run"},
        ],
        apps={
            "app": [{"operation": "op-1", "request": "r-1", "at": 10.5}],
        },
        samplers={"s": [{"request": "t/0/0", "start": 0, "end": 4, "version": 2}]},
        trainer=[
            {"event": "opened", "step": 0, "samples": 1, "at_ms": 0},
            {
                "event": "sample", "step": 0, "index": 0, "tokens": TOKENS,
                "segments": [[2, 0, 4]], "trainer_version": 3,
            },
        ],
        staleness_bound=1,
        trainer_name="t",
        prompts={(0, 0): PROMPT},
        leaving=[Window("app", 20.0, 25.0)],
        planned_stops=[Window("n:1", 9.0, 12.0)],
        revisions=[RevisionSample(30.0, "n", True, 1), RevisionSample(40.0, "n", True, 2)],
        accepted=[(35.0, 2)],
    )  # fmt: skip


def violated(evidence: Evidence) -> set[str]:
    return {finding.name for finding in audit(evidence) if finding.violations}


def test_clean_evidence_is_checked_on_every_promise_and_passes():
    findings = audit(clean_evidence())
    assert [finding.name for finding in findings] == list(PROMISES)
    assert all(finding.checks > 0 and finding.violations == 0 for finding in findings)


def wrong_version(evidence):
    evidence.trainer[1]["segments"] = [[3, 0, 4]]


def gap_in_versions(evidence):
    evidence.trainer[1]["segments"] = [[2, 0, 2], [2, 3, 4]]


def too_old(evidence):
    evidence.trainer[1]["trainer_version"] = 4


def twice(evidence):
    evidence.trainer.append(copy.deepcopy(evidence.trainer[1]))


def lost(evidence):
    del evidence.trainer[1]


def wrong_answer(evidence):
    evidence.callers[0]["outcome"] = "wrong_answer"


def other_tokens(evidence):
    evidence.trainer[1]["tokens"] = TOKENS[::-1]


def ran_after_not_run(evidence):
    evidence.apps["app"].append({"operation": "op-2", "request": "r-2", "at": 99.0})


def ran_twice(evidence):
    evidence.apps["app"].append({"operation": "op-1", "request": "r-9", "at": 12.0})


def late_work(evidence):
    evidence.apps["app"].append({"operation": "op-3", "request": "r-3", "at": 22.5})


def cut_off(evidence):
    evidence.callers[0]["outcome"] = "broken"


def reverted(evidence):
    evidence.revisions.append(RevisionSample(50.0, "n", True, 1))


def not_in_force(evidence):
    evidence.revisions.append(RevisionSample(50.0, "other", True, 1))


@pytest.mark.parametrize(
    ("corrupt", "promise"),
    [
        (wrong_version, "true_weight_versions"),
        (gap_in_versions, "true_weight_versions"),
        (too_old, "staleness_bound"),
        (twice, "sample_exactly_once"),
        (lost, "sample_exactly_once"),
        (wrong_answer, "whole_answer"),
        (other_tokens, "whole_answer"),
        (ran_after_not_run, "not_run_means_not_run"),
        (ran_twice, "at_most_once"),
        (late_work, "leaving_gets_no_work"),
        (cut_off, "planned_stop_cuts_nothing"),
        (reverted, "config_in_force_never_reverts"),
        (not_in_force, "config_in_force_never_reverts"),
    ],
)
def test_each_violation_is_found_and_no_other(corrupt, promise):
    evidence = clean_evidence()
    corrupt(evidence)
    assert violated(evidence) == {promise}
