"""Every weakening of a control run finds the code that it replaces.

A weakening looks up its target by name. If the target were renamed unnoticed, the mechanism would
stay active, and the control run would prove nothing.
"""

import subprocess
import sys
from pathlib import Path

import pytest
from crankseam_platform_standins.soak.weakenings import WEAKENINGS as FRONT_WEAKENINGS

from crankseam_experiments.weakened_node import WEAKENINGS as NODE_WEAKENINGS
from crankseam_standins import replacing

PLATFORM = Path(__file__).parents[2] / "platform"


def apply(statement):
    """Run `statement` in a subprocess, since a weakening replaces attributes of loaded modules."""
    script = f"import sys; sys.path.insert(0, {str(PLATFORM)!r}); {statement}"
    return subprocess.run([sys.executable, "-c", script], capture_output=True, text=True)


@pytest.mark.parametrize("guarantee", FRONT_WEAKENINGS)
def test_a_front_can_lack_the_mechanism(guarantee):
    module = "crankseam_platform_standins.soak.weakenings"
    ended = apply(f"from {module} import WEAKENINGS; WEAKENINGS[{guarantee!r}]()")
    assert ended.returncode == 0, ended.stderr


@pytest.mark.parametrize("guarantee", NODE_WEAKENINGS)
def test_a_node_can_lack_the_mechanism(guarantee):
    module = "crankseam_experiments.weakened_node"
    ended = apply(f"from {module} import WEAKENINGS; WEAKENINGS[{guarantee!r}].apply()")
    assert ended.returncode == 0, ended.stderr


def test_a_part_that_is_not_there_cannot_be_replaced():
    with pytest.raises(AttributeError):
        replacing.replace_attribute(replacing, "no_such_part", None)
    assert not hasattr(replacing, "no_such_part")
