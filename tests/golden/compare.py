"""Compares external interfaces (wire formats, stored data, commands) with golden files.

`WRITE_GOLDEN=1 python -m pytest tests/golden` writes the files that are missing. An existing file
is never overwritten: a commit that changes an interface intentionally deletes the old file, adds
the new one and gives the reason.
"""

import json
import os
from pathlib import Path

GOLDEN_FOLDER = Path(__file__).parent / "files"


def check_golden(name, value):
    """Assert that `value` equals the golden file `name`.

    A `value` that is not a string is compared as JSON.
    """
    file = GOLDEN_FOLDER / name
    text = value if isinstance(value, str) else json.dumps(value, indent=1, sort_keys=True) + "\n"
    if os.environ.get("WRITE_GOLDEN") and not file.exists():
        file.parent.mkdir(exist_ok=True)
        file.write_text(text, encoding="utf-8")
    assert text == file.read_text(encoding="utf-8"), f"output differs from golden file {name}"
