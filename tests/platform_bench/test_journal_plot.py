import json

from crankseam_platform_bench.journal_plot import plot_journal, read_rounds, scores_by_day


def entry(number, score, days, command="score"):
    listed = [{"name": name, "score": value} for name, value in days.items()]
    return {"cmd": command, "site": "a", "score": score, "fresh": f"fresh-{number}", "days": listed}


def test_rounds_are_read_in_order_and_days_keep_their_place(tmp_path):
    entries = [
        entry(1, 0.5, {"quiet-1": 0.4, "fresh-1": 0.9}),
        entry(2, None, {"quiet-1": 0.1}, "run"),
        entry(3, 0.7, {"quiet-1": 0.6, "trouble-1": 0.8}),
    ]
    for number, content in enumerate(entries):
        (tmp_path / f"2026-{number}.json").write_text(json.dumps(content))
    rounds = read_rounds(tmp_path)["a"]
    assert scores_by_day(rounds) == {"quiet-1": [0.4, 0.6], "trouble-1": [None, 0.8]}
    plot_file = tmp_path / "plot.png"
    assert plot_journal(tmp_path, plot_file) == {"a": [0.5, 0.7]}
    assert plot_file.stat().st_size > 1000
