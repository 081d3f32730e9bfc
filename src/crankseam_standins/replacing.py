"""Replaces a part of a program from outside, for control runs that lack one mechanism.

Relies on the part's name: where that has changed, the replacement fails at once, since a control
run whose mechanism still works would prove nothing.
"""

from __future__ import annotations

from typing import Any


def replace_attribute(owner: Any, name: str, replacement: Any) -> None:
    """Replace an attribute of a module or class.

    Raises
    ======

    AttributeError : there is none of that name.
    """
    getattr(owner, name)
    setattr(owner, name, replacement)
