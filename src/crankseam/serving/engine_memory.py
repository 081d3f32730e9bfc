"""What runs take of a sampler's memory, as far as this process knows.

A sampler that runs out of memory puts its newest run back and reads its prompt and text anew later:
the run stands still meanwhile. So a run that is moved there loses what the move was for.
"""

from __future__ import annotations

from dataclasses import dataclass

SOON_EVENTS = 10
"""A run that began lately is counted with so many events more: half a second of its growth.
Origin not recorded."""
AGAIN_FACTOR = 2.0
"""Lengths have a long tail: a run that made many events is expected to make as many again.
Origin not recorded."""
OTHERS_TOKENS = 2000
"""What a run of another process is counted as: a prompt and the mean text of the users' sheets."""


@dataclass(frozen=True, slots=True)
class EngineMemory:
    """Memory of each sampler of a service.

    Attributes
    ==========

    tokens : what fits, prompts and texts together.
    event_tokens : what one event adds.
    """

    tokens: int
    event_tokens: int


@dataclass(frozen=True, slots=True)
class RunSize:
    """How large a run is, and how large it may become.

    Attributes
    ==========

    prompt : tokens of its prompt.
    events : made so far.
    most : tokens of prompt and text at the most; 0 if that is not told.
    """

    prompt: int
    events: int
    most: int = 0

    def expected_tokens(self, memory: EngineMemory) -> int:
        """What it is likely to take before it ends.

        Examples
        ========

        >>> RunSize(276, 60).expected_tokens(EngineMemory(29534, 75))
        9276
        >>> RunSize(276, 0).expected_tokens(EngineMemory(29534, 75))
        1026
        """
        events = max(AGAIN_FACTOR * self.events, self.events + SOON_EVENTS)
        expected = self.prompt + int(events * memory.event_tokens)
        return min(expected, self.most) if self.most else expected


NOTHING = RunSize(0, 0)
"""The size of what needs no memory."""
