"""Replaces an attribute of a program at run time, for control runs that disable one mechanism.

The replacement fails immediately if no attribute has the given name, for instance after a rename:
a control run in which the mechanism still works would prove nothing.
"""

from __future__ import annotations

from typing import Any


def replace_attribute(owner: Any, name: str, replacement: Any) -> None:
    """Replace an existing attribute of a module or class.

    Raises
    ======

    AttributeError : The module or class has no attribute of that name.
    """
    getattr(owner, name)
    setattr(owner, name, replacement)
