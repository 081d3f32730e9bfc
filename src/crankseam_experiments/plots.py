"""Plots and pages of reports: one HTML file, offline, with the figures inside."""

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
    """Write report.html."""
    page = PAGE.format(
        title=html.escape(title),
        figures="".join(_image(figure) for figure in figures),
        report=html.escape(json.dumps(report, indent=1)),
    )
    (out / "report.html").write_text(page, encoding="utf-8")


def write_scale_report(report: dict[str, Any], out: Path) -> None:
    """Cost by size, and how long a change takes to reach all nodes."""
    sizes = [item["nodes"] for item in report["sizes"]]
    figure, axes = plt.subplots(1, 3, figsize=(14, 4))
    roles = sorted({role for item in report["sizes"] for role in item["steady"]["roles"]})
    for role in roles:
        points = [
            (item["nodes"], item["steady"]["roles"][role])
            for item in report["sizes"]
            if role in item["steady"]["roles"]
        ]
        numbers = [number for number, _ in points]
        axes[0].plot(numbers, [p["bytes_per_second_max"] for _, p in points], "o-", label=role)
    axes[0].axhline(report["budget"]["bytes_per_second"]["budget"], color="red", ls=":")
    axes[0].set_title("bytes/s sent, highest of the role")
    axes[1].axhline(report["budget"]["cpu_percent"]["budget"], color="red", ls=":")
    for field in ("cpu_percent_per_node", "cpu_percent_per_relay"):
        costs = [item["steady"][field] for item in report["sizes"]]
        axes[1].plot(sizes, costs, "o-", label=field)
    axes[1].set_title("% of a core")
    for name in ("p50", "p99", "max"):
        values = [item["configuration"]["node_seconds"][name] for item in report["sizes"]]
        axes[2].plot(sizes, values, "o-", label=name)
    axes[2].set_title("seconds until a change is on a node")
    for axis in axes:
        axis.set_xlabel("nodes")
        axis.legend()
    write_page(report["name"], [figure], report, out)
