"""The verbs that read the bench's files find the package in `platform/`, and only when asked."""

import json
import subprocess
import sys

from crankseam.cli.main import main

ENTRY = {"cmd": "score", "site": "a", "score": 0.5, "days": [{"name": "quiet-1", "score": 0.4}]}


def test_the_journal_is_plotted(tmp_path, capsys):
    (tmp_path / "2026-1.json").write_text(json.dumps(ENTRY))
    picture = tmp_path / "plot.png"
    assert main(["bench", "journal", "--folder", str(tmp_path), "--out", str(picture)]) == 0
    assert json.loads(capsys.readouterr().out) == {"a": [0.5]}
    assert picture.exists()


def test_losses_are_printed(tmp_path, capsys):
    report = {"G": 0.6, "parts": [], "prices": [], "classes": [], "windows": [], "events": []}
    (tmp_path / "day.json").write_text(json.dumps(report))
    (tmp_path / "day.txt").write_text("")
    files = ["--report", str(tmp_path / "day.json"), "--log", str(tmp_path / "day.txt")]
    assert main(["bench", "losses", *files]) == 0
    assert capsys.readouterr().out.startswith("worth 0.600")


def test_the_experiments_load_without_the_platform_folder():
    script = (
        "import sys, crankseam_experiments.verb; "
        "print([name for name in sys.modules if name.startswith('crankseam_platform')])"
    )
    started = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    assert started.stdout.strip() == "[]"
