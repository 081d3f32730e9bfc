"""Finds the line of a field in TOML text, for error messages that name the line.

The text only has to be valid up to the point where it was parsed. Used for the settings of both
programs.
"""

from __future__ import annotations

import re


def line_of_toml_field(text: str, path: tuple[str | int, ...]) -> int:
    """Return the number of the line that assigns the field within its table; 0 if not found."""
    lines = text.splitlines()
    names = [str(step) for step in path if isinstance(step, str)]
    table = ".".join(names[:-1])
    current = ""
    for number, line in enumerate(lines, start=1):
        header = re.match(r"\s*\[([\w.-]+)\]", line)
        if header:
            current = header.group(1)
            if current == ".".join(names):
                return number
        elif names and current == table and re.match(rf"\s*{re.escape(names[-1])}\s*=", line):
            return number
    return 0
