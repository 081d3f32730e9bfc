"""Data model of jobs, their items and results, which is also their stored format.

The store and other processes identify fields by name and keep data that older versions wrote. A new
field therefore needs a default, and a field is never renamed.
"""

from __future__ import annotations

import msgspec


class ScoringRequest(msgspec.Struct, frozen=True):
    """A request whose answer is the score of an item's text.

    Attributes:
        host, path: select the route, and thereby the service that scores the text.
    """

    id: str
    host: str
    path: str
    body: bytes


class ItemDefinition(msgspec.Struct, frozen=True):
    """One generation request of a job.

    Attributes:
        path: URL path to which the request is posted at a sampler.
        headers: headers that are passed to the sampler unchanged.
        tokens: number of prompt tokens plus the maximum number of generated tokens.
        prompt_tokens: number of prompt tokens; 0 if unknown.
        group: items of one group share their prompt; empty if the job has no groups.
        length_hint: expected number of output tokens; 0 if unknown, and often inaccurate.
        scoring: request that scores the complete text; the item is completed only with its score.
    """

    id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int = 0
    group: str = ""
    length_hint: int = 0
    prompt_tokens: int = 0
    scoring: ScoringRequest | None = None


class JobDefinition(msgspec.Struct, frozen=True):
    """One job as it was submitted.

    Attributes:
        step: global training step; None if the job does not belong to a step.
        min_version: oldest weight version that may generate its tokens.
        desired: number of complete groups that the trainer waits for; 0 if it waits for all.
        tenant: name of the tenant that submitted it; empty where callers need no API key.
        priority: 0 is the highest; the tenant's priority at submission, or else the route's.
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
    """The result of one item.

    Attributes:
        completed: False if the item was given up.
        versions: weight versions that generated events of the text, in order of first use.
        score: signature of the answer to the item's scoring request; empty if it has none.
    """

    id: str
    completed: bool
    text: str = ""
    versions: list[int] = []
    score: str = ""


class GeneratedEvent(msgspec.Struct, frozen=True):
    """One event of a generation stream.

    Attributes:
        number: position in the stream, counted from 1.
        version: weight version that generated the event; 0 if unknown.
    """

    number: int
    data: str
    version: int = 0


class PartialText(msgspec.Struct):
    """The events that were generated for an item so far.

    Attributes:
        events: the data of the events, in order.
        versions: weight versions that generated them, in order of first use.
        whole: whether the last event was generated; the score may still be missing.
    """

    events: list[str] = []
    versions: list[int] = []
    whole: bool = False

    def append(self, event: GeneratedEvent) -> None:
        """Append the next event and record its version."""
        self.events.append(event.data)
        if event.version and event.version not in self.versions:
            self.versions.append(event.version)

    def clear(self) -> None:
        """Discard all events, so that the item starts from the beginning."""
        self.events.clear()
        self.versions.clear()
        self.whole = False
