"""Gives waiting items of all this process's jobs a place at a sampler, in order of urgency."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time

from crankseam.jobs.places import PlacementRound, PlaceRequest, slots_of
from crankseam.serving.back_ends import BackEnd, BackEndRegistry
from crankseam.serving.paces import SLOW_FACTOR, SamplerPaces

LOOK_AGAIN_SECONDS = 0.05
FASTEST_KEPT_S = 0.2
"""The order of samplers by pace is worked out anew after this."""
LONG_RUN_SLOW_FACTOR = 1.2
"""Long runs, which the step waits for, leave for a sampler that is faster by this."""


class Dispatcher:
    """One queue for the process. Samplers are filled up to their slots, not beyond.

    Args:
        zone: where this process runs; samplers there are preferred between equals.
        paces: how fast samplers are; its own without one.
    """

    def __init__(
        self, registry: BackEndRegistry, zone: str, paces: SamplerPaces | None = None
    ) -> None:
        self._registry = registry
        self._zone = zone
        self._waiting: list[PlaceRequest] = []
        self._numbers = itertools.count()
        self._wake = asyncio.Event()
        self._fastest: dict[str, tuple[float, list[tuple[float, BackEnd]]]] = {}
        """Samplers by pace and when that was worked out, by service."""
        self.paces = paces if paces is not None else SamplerPaces()
        registry.on_change.append(self._wake.set)

    async def run(self) -> None:
        """Give places until cancelled."""
        while True:
            try:
                async with asyncio.timeout(LOOK_AGAIN_SECONDS if self._waiting else None):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            self._give_places()

    async def acquire(
        self,
        rank: tuple[float, ...],
        service: str,
        model: str,
        min_version: int,
        avoided: str = "",
        is_long: bool = False,
        slots_share: float = 1.0,
    ) -> BackEnd:
        """Wait for a place; the caller must release it. See PlaceRequest."""
        place: asyncio.Future[BackEnd] = asyncio.get_running_loop().create_future()
        number = next(self._numbers)
        request = PlaceRequest(
            rank, number, service, model, min_version, avoided, is_long, place, slots_share
        )
        heapq.heappush(self._waiting, request)
        self._wake.set()
        try:
            return await place
        except asyncio.CancelledError:
            if place.done() and not place.cancelled():
                self.release(place.result())
            raise

    def release(self, back_end: BackEnd) -> None:
        """Give a place back."""
        back_end.in_flight -= 1
        self._wake.set()

    def _give_places(self) -> None:
        round_ = PlacementRound(self._registry, self.paces, self._zone)
        left: list[PlaceRequest] = []
        while self._waiting:
            request = heapq.heappop(self._waiting)
            if request.place.done():
                continue
            back_end = round_.take(request)
            if back_end is None:
                left.append(request)
                continue
            back_end.in_flight += 1
            request.place.set_result(back_end)
        self._waiting = left

    def knows(self, back_end_id: str) -> bool:
        """Whether a back end of this id is in discovery."""
        return self._registry.by_id(back_end_id) is not None

    def is_slow(self, back_end: BackEnd) -> bool:
        """Whether its events take much longer than those of its service's other samplers."""
        return self.paces.is_slow(back_end, self._registry.of_service(back_end.record.service))

    def has_faster_place(
        self, back_end: BackEnd, model: str, min_version: int, is_long: bool
    ) -> bool:
        """Whether a run would find room at a much faster sampler, a long run at a faster one.

        The paces of others must be known: an unknown one is no promise.
        """
        steady_s, recent_s = self.paces.steady_s(back_end), self.paces.recent_s(back_end)
        if steady_s is None or recent_s is None:
            return False
        fast_enough_s = recent_s / SLOW_FACTOR
        if is_long and not self._is_awaited(back_end.record.service, model):
            fast_enough_s = max(fast_enough_s, steady_s / LONG_RUN_SLOW_FACTOR)
        faster = itertools.takewhile(
            lambda pair: pair[0] < fast_enough_s,
            self._fastest_first(back_end.record.service),
        )
        return any(self._has_room(other, model, min_version) for _, other in faster)

    def _fastest_first(self, service: str) -> list[tuple[float, BackEnd]]:
        """See SamplerPaces; worked out now and then, since each event of each run asks."""
        now = time.monotonic()
        worked_out_at, found = self._fastest.get(service, (float("-inf"), []))
        if now - worked_out_at > FASTEST_KEPT_S:
            found = self.paces.fastest_first(self._registry.of_service(service))
            self._fastest[service] = (now, found)
        return found

    def _is_awaited(self, service: str, model: str) -> bool:
        """Whether items wait for a place: what is free is about to be taken."""
        return any(
            waiting.service == service and waiting.model == model and not waiting.place.done()
            for waiting in self._waiting
        )

    def _has_room(self, back_end: BackEnd, model: str, min_version: int) -> bool:
        now = time.monotonic()
        if back_end.avoid_until > now or not self._registry.is_current(back_end):
            return False
        if back_end.expected_load(now) >= slots_of(back_end) - 1:
            return False
        return not model or back_end.version_of(model) >= min_version
