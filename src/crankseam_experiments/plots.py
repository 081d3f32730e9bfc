"""Writes a report and its plots as one self-contained HTML file with embedded images.

The plots are drawn with matplotlib, partly from the account logs that the stand-ins wrote.
"""

from __future__ import annotations

import base64
import html
import io
import json
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402 - the backend must be chosen first
from matplotlib.figure import Figure  # noqa: E402

from crankseam_standins.account import read_account  # noqa: E402

PAGE = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{title}</title>
<style>body{{font-family:sans-serif;max-width:70em;margin:2em auto}}pre{{background:#f4f4f4;
padding:1em;overflow:auto}}img{{max-width:100%}}</style>
<h1>{title}</h1>{figures}<h2>Report</h2><pre>{report}</pre></html>
"""


def _image(figure: Figure) -> str:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=110, bbox_inches="tight")
    plt.close(figure)
    encoded = base64.b64encode(buffer.getvalue()).decode()
    return f'<p><img alt="figure" src="data:image/png;base64,{encoded}"></p>'


def write_page(title: str, figures: list[Figure], report: dict[str, Any], out: Path) -> None:
    """Write report.html with the figures and the report as JSON."""
    page = PAGE.format(
        title=html.escape(title),
        figures="".join(_image(figure) for figure in figures),
        report=html.escape(json.dumps(report, indent=1)),
    )
    (out / "report.html").write_text(page, encoding="utf-8")


def write_comparison_report(
    report: dict[str, Any], runs: dict[str, list[dict[str, Any]]], out: Path
) -> None:
    """Write the HTML page of a comparison.

    The page shows idle fraction, staleness and sampler utilisation by policy, and timelines, sample
    lengths and staleness for the first seed.
    """
    names = list(report["policies"])
    figure, axes = plt.subplots(1, 3, figsize=(14, 4))
    for position, name in enumerate(names):
        idle = [run["trainer_idle_fraction_running"] or 0.0 for run in runs[name]]
        axes[0].scatter([position] * len(idle), idle)
        axes[0].hlines(
            report["policies"][name]["trainer_idle_fraction_running"]["median"],
            position - 0.3,
            position + 0.3,
        )
        staleness = report["policies"][name]["staleness_versions"]
        axes[1].bar(position, staleness["p99"])
        busy = report["policies"][name]["busy_fraction"]["median"]
        axes[2].bar(position, busy)
    titles = (
        "trainer idle fraction after the first step, by seed",
        "staleness p99, versions",
        "samplers busy",
    )
    for axis, title in zip(axes, titles, strict=True):
        axis.set_title(title)
        axis.set_xticks(range(len(names)), names, rotation=20)
    figures = [figure]
    seed = report["seeds"][0]
    for name in names:
        figures.append(_timeline(name, out / f"{name}-{seed}"))
    figures.append(_histograms(names, seed, out))
    write_page(report["name"], figures, report, out)


def _sampler_entries(folder: Path) -> dict[str, list[dict[str, Any]]]:
    accounts = sorted(folder.glob("sampler-*.account.jsonl"))
    return {
        path.name.partition(".")[0]: [e for e in read_account(path) if "start" in e]
        for path in accounts
    }


def _timeline(name: str, folder: Path) -> Figure:
    """Plot when each sampler generated tokens, coloured by training step."""
    entries = _sampler_entries(folder)
    begin = min(
        (e["at"] for sampler_entries in entries.values() for e in sampler_entries), default=0.0
    )
    figure, axis = plt.subplots(figsize=(14, 2.5))
    for row, sampler_entries in enumerate(entries.values()):
        times = [entry["at"] - begin for entry in sampler_entries]
        steps = [int(entry["request"].split("/")[1]) for entry in sampler_entries]
        axis.scatter(times, [row] * len(times), c=steps, cmap="tab10", s=3, marker="|")
    axis.set_yticks(range(len(entries)), list(entries))
    axis.set_title(f"{name}: which step each sampler works on, by second")
    return figure


def _histograms(names: list[str], seed: int, out: Path) -> Figure:
    figure, axes = plt.subplots(1, 2, figsize=(14, 3.5))
    for name in names:
        trainer = read_account(out / f"{name}-{seed}" / "trainer.account.jsonl")
        samples = [entry for entry in trainer if entry["event"] == "sample"]
        lengths = [len(entry["tokens"]) for entry in samples]
        ages = [e["trainer_version"] - min(s[0] for s in e["segments"]) for e in samples]
        axes[0].hist(lengths, bins=40, histtype="step", label=name)
        axes[1].hist(ages, bins=range(5), histtype="step", label=name)
    axes[0].set_title("length of samples, tokens")
    axes[1].set_title("staleness, versions")
    axes[1].legend()
    return figure
