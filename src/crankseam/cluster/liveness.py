"""When a relay declares a member of its zone dead."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Mapping


class LivenessJudge:
    """Remembers when each member was last heard, here or by the zone's other relays.

    A member is dead when no relay of its zone has heard it for `dead_after` seconds. Time in which
    this relay itself was stopped or overloaded does not count: the silence was its own.

    Args:
        dead_after: silence in seconds.
    """

    def __init__(
        self,
        dead_after: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._dead_after = dead_after
        self._clock = clock
        self._heard_at: dict[str, float] = {}
        self._heard_here_at: dict[str, float] = {}
        self._last_tick = clock()

    def hear(self, names: Iterable[str]) -> None:
        """Note that these members showed life to this relay just now."""
        now = self._clock()
        for name in names:
            self._heard_at[name] = now
            self._heard_here_at[name] = now

    def hear_from_relay(self, silences: Mapping[str, int]) -> None:
        """Take from another relay of the zone how long ago (milliseconds) it heard members."""
        now = self._clock()
        for name, milliseconds in silences.items():
            at = now - milliseconds / 1000
            if at > self._heard_at.get(name, float("-inf")):
                self._heard_at[name] = at

    def heard_here(self) -> dict[str, int]:
        """How long ago (milliseconds) this relay itself heard each member it may judge.

        Hearsay is left out: two relays would keep a dead member alive by telling each other.
        """
        now = self._clock()
        since = now - self._dead_after
        return {
            name: round((now - at) * 1000)
            for name, at in self._heard_here_at.items()
            if at >= since
        }

    def tick(self, expected: float) -> float:
        """Must be called every `expected` seconds; a late call reveals that this process itself
        was stopped or overloaded. Only time in which it listened counts as silence of others.

        Returns:
            The seconds that do not count.
        """
        now = self._clock()
        late = now - self._last_tick - expected
        self._last_tick = now
        if late <= expected:
            return 0.0
        for name, at in self._heard_at.items():
            self._heard_at[name] = min(now, at + late)
        return late

    def silent(self, names: Iterable[str]) -> list[str]:
        """Those of `names` that are to be declared dead. A name seen first starts counting."""
        now = self._clock()
        since = now - self._dead_after
        return [name for name in names if self._heard_at.setdefault(name, now) < since]

    def start_anew(self) -> None:
        """Forget all that was heard: every member starts counting when next looked at."""
        self._heard_at.clear()
        self._heard_here_at.clear()

    def forget(self, name: str) -> None:
        """Stop counting for a member."""
        self._heard_at.pop(name, None)
        self._heard_here_at.pop(name, None)
