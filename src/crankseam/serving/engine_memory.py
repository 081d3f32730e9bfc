"""Estimates how much of a sampler's memory its runs occupy.

A run is the generation of one item. A sampler that runs out of memory preempts its newest run, and
recomputes the prompt and the generated text of that run later. The run makes no progress in the
meantime, so moving it to a sampler without enough memory gains nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_FURTHER_EVENTS = 10
"""Minimum number of events that a run is expected to produce from now on, which matters for a run
that has just begun. It corresponds to half a second of generation."""
LENGTH_FACTOR = 2.0
"""Ratio of the expected number of events to those produced so far. Output lengths are long-tailed,
so a run is expected to produce as many events again as it already has."""
REMOTE_RUN_TOKENS = 2000
"""Assumed size, in tokens, of a run that another process has at the sampler: a prompt and a text of
mean length according to the users' workload descriptions."""


@dataclass(frozen=True, slots=True)
class EngineMemory:
    """Memory of each sampler of a service.

    Attributes
    ==========

    tokens : capacity, in tokens of prompts and generated texts together.
    event_tokens : tokens that one event of a run adds.
    """

    tokens: int
    event_tokens: int


@dataclass(frozen=True, slots=True)
class RunSize:
    """Current and greatest possible size of a run.

    Attributes
    ==========

    prompt : number of tokens of the prompt.
    events : number of events produced so far.
    max_tokens : upper limit of the tokens of prompt and text together; 0 if unknown.
    """

    prompt: int
    events: int
    max_tokens: int = 0

    def expected_tokens(self, memory: EngineMemory) -> int:
        """Return the number of tokens that the run is expected to occupy when it ends.

        Examples
        ========

        >>> RunSize(276, 60).expected_tokens(EngineMemory(29534, 75))
        9276
        >>> RunSize(276, 0).expected_tokens(EngineMemory(29534, 75))
        1026
        """
        events = max(LENGTH_FACTOR * self.events, self.events + MIN_FURTHER_EVENTS)
        expected = self.prompt + int(events * memory.event_tokens)
        return min(expected, self.max_tokens) if self.max_tokens else expected


EMPTY_RUN = RunSize(0, 0)
"""Size of a run that needs no memory."""
