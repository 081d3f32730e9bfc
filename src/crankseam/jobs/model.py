"""What a job, its items and their results are; also how they are stored.

The store and other processes hold these by the names of their fields, and read what older versions
wrote: a field is added with a default, never renamed.
"""

from __future__ import annotations

import msgspec


class ScoringRequest(msgspec.Struct, frozen=True):
    """A request whose answer is the score of an item's text.

    Attributes:
        host, path: choose the route, and with it the service that is asked.
    """

    id: str
    host: str
    path: str
    body: bytes


class ItemDefinition(msgspec.Struct, frozen=True):
    """One generation of a job.

    Attributes:
        path: where it is posted at a sampler.
        headers: passed to the sampler as they are.
        tokens: prompt tokens plus the most that may be made.
        prompt_tokens: tokens of the prompt alone; 0 if that is not told.
        group: items of one group share their prompt; empty without groups.
    """

    id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int = 0
    group: str = ""
    length_hint: int = 0
    """Expected tokens of the output; 0 if not told, and often far off."""
    prompt_tokens: int = 0
    scoring: ScoringRequest | None = None
    """Asked once the text is whole; the item is completed only with its score."""


class JobDefinition(msgspec.Struct, frozen=True):
    """One job as it was submitted.

    Attributes:
        step: global step of the trainer; None for a job that is no step.
        min_version: oldest weight version that may make its tokens.
        desired: whole groups that the trainer waits for; 0 if it waits for all.
        tenant: name of the tenant that submitted it; empty where callers need no key.
        priority: 0 goes first; the tenant's, else the route's, when it was submitted.
    """

    id: str
    host: str
    path: str
    items: list[ItemDefinition]
    step: int | None = None
    model: str = ""
    min_version: int = 0
    desired: int = 0
    tenant: str = ""
    priority: int = 5


class ItemResult(msgspec.Struct, frozen=True):
    """What became of one item.

    Attributes:
        completed: False when the item was given up.
        versions: weight versions that made an event of the text, in order of first use.
        score: signature of the answer to the item's scoring request; empty without one.
    """

    id: str
    completed: bool
    text: str = ""
    versions: list[int] = []
    score: str = ""


class GeneratedEvent(msgspec.Struct, frozen=True):
    """One event of a generation; `version` is the weight version that made it, 0 if not told."""

    number: int
    data: str
    version: int = 0


class PartialText(msgspec.Struct):
    """The events of an item that were made so far, and the versions that made them.

    Attributes:
        whole: whether the last event was made; the item may still lack its score.
    """

    events: list[str] = []
    versions: list[int] = []
    whole: bool = False

    def take(self, event: GeneratedEvent) -> None:
        """Append the next event."""
        self.events.append(event.data)
        if event.version and event.version not in self.versions:
            self.versions.append(event.version)

    def clear(self) -> None:
        """Forget everything: the item starts anew."""
        self.events.clear()
        self.versions.clear()
        self.whole = False
