"""Finds the line of a field in a TOML text, for errors that name it.

Owns nothing; the text need not be valid beyond what was read of it. Used for the settings of both
programs.
"""

from __future__ import annotations

import re


def line_of_toml_field(text: str, path: tuple[str | int, ...]) -> int:
    """Line of a field: after its table's header, the line that assigns its name; 0 if not found."""
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
