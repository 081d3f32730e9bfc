"""The commands `bench journal` and `bench losses`, which use a package in the folder `platform/`.

They import the package only when they run; loading the experiments must not import it.
"""

import json
import subprocess
import sys

from crankseam.cli.main import main

ENTRY = {"cmd": "score", "site": "a", "score": 0.5, "days": [{"name": "quiet-1", "score": 0.4}]}


def test_the_journal_is_plotted(tmp_path, capsys):
    (tmp_path / "2026-1.json").write_text(json.dumps(ENTRY))
    plot_file = tmp_path / "plot.png"
    assert main(["bench", "journal", "--folder", str(tmp_path), "--out", str(plot_file)]) == 0
    assert json.loads(capsys.readouterr().out) == {"a": [0.5]}
    assert plot_file.exists()


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
