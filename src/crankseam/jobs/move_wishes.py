"""Places at faster samplers for runs that are under way at slow ones.

A run keeps its place until a better one is free; so a run that moves leaves a place behind for an
item that waits, and moving costs no room. Long runs go first: a step waits for them.
"""

from __future__ import annotations

import itertools
import time
from dataclasses import dataclass

from crankseam.jobs.places import MemoryFinder, may_serve, slots_of
from crankseam.serving.back_ends import BackEnd, BackEndRegistry
from crankseam.serving.engine_memory import NOTHING, RunSize
from crankseam.serving.paces import SamplerPaces

FASTEST_KEPT_S = 0.2
"""The order of samplers by pace is worked out anew after this."""


@dataclass(slots=True, eq=False)
class MoveWish:
    """A run that would go on at a sampler of a shorter pace.

    Attributes
    ==========

    faster_than_s : seconds between events that another sampler must beat.
    events : how many the run has made; the longest run goes first.
    granted : a place that is the run's already, taken at that sampler.
    """

    service: str
    model: str
    min_version: int
    only_version: int
    faster_than_s: float
    events: int
    item: str = ""
    size: RunSize = NOTHING
    granted: BackEnd | None = None


class MoveWishes:
    """The wishes of one process's runs."""

    def __init__(
        self,
        registry: BackEndRegistry,
        paces: SamplerPaces,
        memory_of: MemoryFinder = lambda service: None,
    ) -> None:
        self._memory_of = memory_of
        self._registry = registry
        self._paces = paces
        self._open: dict[int, MoveWish] = {}
        """Wishes without a place, by identity."""
        self._fastest: dict[str, tuple[float, list[tuple[float, BackEnd]]]] = {}
        """Samplers by pace and when that was worked out, by service."""

    def put(self, wish: MoveWish) -> None:
        """Add a wish, or a new state of it, and grant it if there is room now."""
        if wish.granted is None:
            self._open[id(wish)] = wish
            self._grant(wish)

    def withdraw(self, wish: MoveWish) -> BackEnd | None:
        """End a wish; the place that it was granted, which is the caller's from now on."""
        self._open.pop(id(wish), None)
        granted, wish.granted = wish.granted, None
        return granted

    def give(self) -> None:
        """Grant what can be granted by now."""
        for wish in sorted(self._open.values(), key=lambda one: -one.events):
            self._grant(wish)

    def _grant(self, wish: MoveWish) -> None:
        faster = itertools.takewhile(
            lambda pair: pair[0] < wish.faster_than_s, self._fastest_first(wish.service)
        )
        free = [one for _, one in faster if self._has_room(one, wish)]
        if not free:
            return
        # A sampler that is behind the newest version loads soon, which breaks its runs off.
        newest = max(one.version_of(wish.model) for one in free)
        chosen = min(free, key=lambda one: newest - one.version_of(wish.model))
        chosen.in_flight += 1
        if wish.item:
            chosen.runs[wish.item] = wish.size
        wish.granted = chosen
        del self._open[id(wish)]

    def _has_room(self, back_end: BackEnd, wish: MoveWish) -> bool:
        now = time.monotonic()
        if back_end.avoid_until > now or not self._registry.is_current(back_end):
            return False
        if back_end.expected_load(now) >= slots_of(back_end):
            return False
        memory = self._memory_of(wish.service) if wish.item else None
        if memory is not None and not back_end.has_memory_for(wish.size, memory, now):
            return False
        return may_serve(back_end, wish.model, wish.min_version, wish.only_version)

    def _fastest_first(self, service: str) -> list[tuple[float, BackEnd]]:
        """See SamplerPaces; worked out now and then, since each event of each run asks."""
        now = time.monotonic()
        worked_out_at, found = self._fastest.get(service, (float("-inf"), []))
        if now - worked_out_at > FASTEST_KEPT_S:
            found = self._paces.fastest_first(self._registry.of_service(service))
            self._fastest[service] = (now, found)
        return found
