"""Golden files: what others see of this software. They are written once and compared ever after.

`WRITE_GOLDEN=1 python -m pytest tests/golden` writes those that are missing; a file that exists is
never overwritten, so a change on purpose removes the old file in the same commit and says why.
"""

import json
import os
from pathlib import Path

FOLDER = Path(__file__).parent / "files"


def check(name, value):
    """Compare with the golden file of that name; `value` is text or plain data."""
    file = FOLDER / name
    text = value if isinstance(value, str) else json.dumps(value, indent=1, sort_keys=True) + "\n"
    if os.environ.get("WRITE_GOLDEN") and not file.exists():
        file.parent.mkdir(exist_ok=True)
        file.write_text(text, encoding="utf-8")
    assert text == file.read_text(encoding="utf-8"), f"{name} changed"
