"""Hollow nodes at several sizes."""

from pathlib import Path
from typing import Any

from crankseam_experiments.spec import ScaleExperiment


async def run_scale(spec: ScaleExperiment, seed: int, out: Path) -> dict[str, Any]:
    """Run."""
    raise NotImplementedError
