"""Who is dead: when does a relay declare a member of its zone, or a whole zone, dead?

Inputs: when each member was last heard, here or by the zone's other relay, and when another zone
last answered (seconds of the steady clock, as old as the last heartbeat of 1 s).
Rule: a member is dead when no relay of its zone has heard it for `dead_after`; a zone of the region
when its relays have not answered for `dead_after + suspect_after`. A relay that misses more than
half of at least three members while no other zone answers declares nobody. Time in which the relay
itself was stopped or overloaded does not count as silence of others.
Protects: living members from a relay that is cut off or overloaded; replicas and routing from
waiting for the dead.
Shown by: `member declared dead`. Held by: tests/cluster/test_liveness.py,
tests/cluster/test_membership.py.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

SMALLEST_JUDGED_ZONE = 3
"""With fewer members beside the relay their silence is taken at its word. Origin not recorded."""


class MemberSilence:
    """When each member of this zone was last heard. All times are seconds of one steady clock.

    Parameters
    ==========

    dead_after : silence in seconds after which a member is dead.
    now : when the first `tick` begins to count.
    """

    def __init__(self, dead_after: float, now: float) -> None:
        self._dead_after = dead_after
        self._heard_at: dict[str, float] = {}
        self._heard_here_at: dict[str, float] = {}
        self._last_tick = now

    def hear(self, names: Iterable[str], now: float) -> None:
        """Note that these members showed life to this relay just now."""
        for name in names:
            self._heard_at[name] = now
            self._heard_here_at[name] = now

    def hear_from_relay(self, silences_ms: Mapping[str, int], now: float) -> None:
        """Take from another relay of the zone how long ago (milliseconds) it heard members."""
        for name, silence_ms in silences_ms.items():
            at = now - silence_ms / 1000
            if at > self._heard_at.get(name, float("-inf")):
                self._heard_at[name] = at

    def heard_here(self, now: float) -> dict[str, int]:
        """How long ago (milliseconds) this relay itself heard each member it may judge.

        What the other relay told is left out: two relays would keep a dead member alive by
        telling each other.
        """
        since = now - self._dead_after
        return {
            name: round((now - at) * 1000)
            for name, at in self._heard_here_at.items()
            if at >= since
        }

    def tick(self, expected: float, now: float) -> float:
        """Must be called every `expected` seconds; a late call reveals that this process itself
        was stopped or overloaded. Only time in which it listened counts as silence of others.

        Returns
        =======

        The seconds that do not count.
        """
        late = now - self._last_tick - expected
        self._last_tick = now
        if late <= expected:
            return 0.0
        for name, at in self._heard_at.items():
            self._heard_at[name] = min(now, at + late)
        return late

    def dead(self, names: Iterable[str], now: float) -> list[str]:
        """Those of `names` that are to be declared dead. A name seen first starts counting."""
        since = now - self._dead_after
        return [name for name in names if self._heard_at.setdefault(name, now) < since]

    def reset(self) -> None:
        """Forget all that was heard: every member starts counting when next looked at."""
        self._heard_at.clear()
        self._heard_here_at.clear()

    def forget(self, name: str) -> None:
        """Stop counting for a member."""
        self._heard_at.pop(name, None)
        self._heard_here_at.pop(name, None)


class ZoneSilence:
    """When a relay of each zone last answered. All times are seconds of one steady clock.

    Parameters
    ==========

    dead_after : silence in seconds after which a zone's members are taken for dead.
    recent : silence in seconds up to which a zone counts as heard.
    """

    def __init__(self, dead_after: float, recent: float) -> None:
        self._dead_after = dead_after
        self._recent = recent
        self._heard_at: dict[str, float] = {}

    def hear(self, zone: str, now: float) -> None:
        """Note that a relay of the zone answered just now."""
        self._heard_at[zone] = now

    def skip(self, not_counted: float) -> None:
        """Leave out seconds in which this process did not listen."""
        for zone in self._heard_at:
            self._heard_at[zone] += not_counted

    def heard_any(self, zones: Iterable[str], now: float) -> bool:
        """Whether any of the zones answered lately."""
        since = now - self._recent
        return any(self._heard_at.get(zone, 0.0) > since for zone in zones)

    def is_dead(self, zone: str, now: float) -> bool:
        """Whether the zone has been silent for too long. A zone seen first starts counting."""
        return now - self._heard_at.setdefault(zone, now) >= self._dead_after

    def reset(self) -> None:
        """Forget all that was heard."""
        self._heard_at.clear()


def is_probably_cut_off(watched: int, silent: int, hears_another_zone: bool) -> bool:
    """Whether the relay itself is more likely cut off than most of its zone dead.

    Parameters
    ==========

    watched : living members of the zone beside the relay.
    silent : those of them that have been silent for too long.
    """
    if silent * 2 <= watched or watched < SMALLEST_JUDGED_ZONE:
        return False
    return not hears_another_zone
