"""The catalogue of log events agrees with the log calls in the code and with docs/LOGS.md."""

import ast
import json
import logging
import os
from pathlib import Path

import pytest

from crankseam.serving.log_events import EVENTS, as_markdown
from crankseam.serving.logs import MAX_BUFFERED_LINES, JsonLineHandler
from crankseam.serving.metrics import ProcessMetrics

ROOT = Path(__file__).parents[2]
FOLDERS = [
    ROOT / "src/crankseam/serving",
    ROOT / "src/crankseam/jobs",
    ROOT / "src/crankseam/orders",
    ROOT / "src/crankseam/coordination",
    ROOT / "src/crankseam/usage",
    ROOT / "src/crankseam/scaling",
    ROOT / "src/crankseam/quarantine",
    ROOT / "src/crankseam/overload",
