"""Each control run finds what it replaces: a part that got another name would leave it whole."""

import subprocess
import sys
from pathlib import Path

import pytest
from crankseam_platform_standins.soak.weakenings import WEAKENINGS as WEAKENINGS_OF_FRONTS

from crankseam_experiments.weakened_node import WEAKENINGS as WEAKENINGS_OF_NODES
from crankseam_standins import replacing

PLATFORM = Path(__file__).parents[2] / "platform"


def apply(statement):
    """Apply weakenings in a process of their own: they replace parts of this program."""
    script = f"import sys; sys.path.insert(0, {str(PLATFORM)!r}); {statement}"
    return subprocess.run([sys.executable, "-c", script], capture_output=True, text=True)


@pytest.mark.parametrize("promise", WEAKENINGS_OF_FRONTS)
def test_a_front_can_lack_the_mechanism(promise):
    module = "crankseam_platform_standins.soak.weakenings"
    ended = apply(f"from {module} import WEAKENINGS; WEAKENINGS[{promise!r}]()")
    assert ended.returncode == 0, ended.stderr


@pytest.mark.parametrize("promise", WEAKENINGS_OF_NODES)
def test_a_node_can_lack_the_mechanism(promise):
    module = "crankseam_experiments.weakened_node"
    ended = apply(f"from {module} import WEAKENINGS; WEAKENINGS[{promise!r}].apply()")
    assert ended.returncode == 0, ended.stderr


def test_a_part_that_is_not_there_cannot_be_replaced():
    with pytest.raises(AttributeError):
        replacing.replace_attribute(replacing, "no_such_part", None)
    assert not hasattr(replacing, "no_such_part")
