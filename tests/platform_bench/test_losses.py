"""Tables of losses, computed from a report and a log in the format of the users' benchmark."""

import json

from crankseam_platform_bench.losses import format_losses, read_jobs

REPORT = {
    "G": 0.6,
    "parts": [["whole day", 0.75, 0.8], ["worst windows", 0.25, 0.5]],
    "prices": [["cloud calls", 100.0, 0.03], ["orders", 4.0, 0.0], ["connections", 7.0, 0.05]],
    "classes": [{"name": "rollout", "n": 10, "late": 1, "refused": 2, "failed": 3, "worth": 0.8}],
    "windows": [
        {"name": "0", "n": 5, "late": 0, "refused": 0, "failed": 0, "worth": 1.0},
        {"name": "8", "n": 5, "late": 1, "refused": 0, "failed": 2, "worth": 0.4},
    ],
    "events": [
        {"at_s": 10.0, "to_s": 12.0, "kind": "platform_down"},
        {"at_s": 30.0, "to_s": 31.0, "kind": "release"},
    ],
}


def write_log(folder, lines):
    file = folder / "day.txt"
    text = [
        f"  {at_s:.4f} front-1 " + json.dumps({"time": at_s, "event": event, **fields})
        for at_s, event, fields in lines
    ]
    file.write_text("built in 1 s\n" + "\n".join(text) + "\nsnapshot x\n", encoding="utf-8")
    return file


def test_a_job_is_reconstructed_from_its_log_lines(tmp_path):
    accepted = {"job": "j1", "step": 2, "items": 2, "min_version": 1, "again": False}
    file = write_log(
        tmp_path,
        [
            (4.0, "job_accepted", accepted),
            (4.1, "item_sent", {"job": "j1", "item": "a", "reason": "load 1"}),
            (5.0, "item_broken", {"job": "j1", "item": "a", "reason": "reset, again"}),
            (6.0, "item_done", {"job": "j1", "item": "a"}),
            (6.5, "scoring_done", {"job": "j1", "item": "a"}),
            (7.0, "results_listed", {"job": "j1", "items": ["a"]}),
            (13.0, "results_listed", {"job": "j1", "items": ["a", "b"]}),
        ],
    )
    (job,) = read_jobs(file)
    assert (job.step, job.items, job.listed_in_time()) == (2, 2, 1)
    assert job.listed == {"a": 7.0, "b": 13.0}, "only the first listing of an item counts"
    assert job.unfinished_attempts == {"broken reset": 1}


def test_the_tables_name_prices_moments_and_what_happened_meanwhile(tmp_path):
    tables = format_losses(REPORT, read_jobs(write_log(tmp_path, [])))
    assert tables.index("connections") < tables.index("cloud calls"), (
        "prices are sorted by descending cost"
    )
    assert "orders" not in tables, "prices without cost are omitted"
    assert "from    8 s" in tables and "from    0 s" not in tables
    assert "platform_down 10-12 s" in tables and "release" not in tables
