"""Failure detection: decides when a relay declares a member of its zone, or a whole zone, dead.

Inputs: the time at which each member was last in contact with this relay or with the zone's other
relay, and the time at which each other zone last answered (seconds of the monotonic clock; as old
as the last heartbeat, which is sent every 1 s).
Rule: a member is dead when no relay of its zone has had contact with it for `dead_after`. Another
zone of the region is dead when its relays have not answered for `dead_after + suspect_after`. A
relay that misses more than half of at least three members while no other zone answers declares
nobody dead. Time during which the relay itself was stopped or overloaded does not count as silence
of other members.
Purpose: a relay that is cut off or overloaded does not declare alive members dead, and replica
placement and routing do not wait for dead members.
Logged as: `member declared dead`.
Tested by: tests/cluster/test_liveness.py, tests/cluster/test_membership.py.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

MIN_MEMBERS_FOR_CUT_OFF_CHECK = 3
"""With fewer members besides the relay, silent members are declared dead without this check."""


class MemberFailureDetector:
    """Tracks the last contact with each member of this zone.

    All times are seconds of one monotonic clock.

    Parameters
    ==========

    dead_after : seconds without contact after which a member is dead.
    now : time from which the delay of the first `tick` is measured.
    """

    def __init__(self, dead_after: float, now: float) -> None:
        self._dead_after = dead_after
        self._last_contact_at: dict[str, float] = {}
        self._own_contact_at: dict[str, float] = {}
        self._last_tick = now

    def record_contact(self, names: Iterable[str], now: float) -> None:
        """Record that this relay received a message from these members at `now`."""
        for name in names:
            self._last_contact_at[name] = now
            self._own_contact_at[name] = now

    def merge_relay_contacts(self, contact_ages_ms: Mapping[str, int], now: float) -> None:
        """Merge how long ago (milliseconds) another relay of the zone had contact with members."""
        for name, contact_age_ms in contact_ages_ms.items():
            at = now - contact_age_ms / 1000
            if at > self._last_contact_at.get(name, float("-inf")):
                self._last_contact_at[name] = at

    def own_contact_ages(self, now: float) -> dict[str, int]:
        """How long ago (milliseconds) this relay itself had contact with each member.

        Contacts older than `dead_after` are left out, and so are contacts that the other relay
        reported: otherwise two relays would keep a dead member alive by repeating each other's
        reports.
        """
        since = now - self._dead_after
        return {
            name: round((now - at) * 1000)
            for name, at in self._own_contact_at.items()
            if at >= since
        }

    def tick(self, expected: float, now: float) -> float:
        """Exclude time during which this process was stopped or overloaded.

        Must be called every `expected` seconds. A call that is late by more than `expected` shows
        that the process could not receive messages; the delay is then not counted as silence of
        the members.

        Returns
        =======

        The excluded seconds; 0 if the call was not late.
        """
        late = now - self._last_tick - expected
        self._last_tick = now
        if late <= expected:
            return 0.0
        for name, at in self._last_contact_at.items():
            self._last_contact_at[name] = min(now, at + late)
        return late

    def dead(self, names: Iterable[str], now: float) -> list[str]:
        """The members of `names` that are to be declared dead.

        For a name without a recorded contact, the silence is counted from this call.
        """
        since = now - self._dead_after
        return [name for name in names if self._last_contact_at.setdefault(name, now) < since]

    def reset(self) -> None:
        """Discard all contacts; the silence of each member is counted anew from the next `dead`."""
        self._last_contact_at.clear()
        self._own_contact_at.clear()

    def forget(self, name: str) -> None:
        """Discard the contacts with a member."""
        self._last_contact_at.pop(name, None)
        self._own_contact_at.pop(name, None)


class ZoneFailureDetector:
    """Tracks when a relay of each zone last answered.

    All times are seconds of one monotonic clock.

    Parameters
    ==========

    dead_after : seconds without an answer after which the members of a zone count as dead.
    recent_within : seconds after an answer during which the zone counts as reachable.
    """

    def __init__(self, dead_after: float, recent_within: float) -> None:
        self._dead_after = dead_after
        self._recent_within = recent_within
        self._last_contact_at: dict[str, float] = {}

    def record_contact(self, zone: str, now: float) -> None:
        """Record that a relay of the zone answered at `now`."""
        self._last_contact_at[zone] = now

    def exclude_time(self, excluded_s: float) -> None:
        """Do not count seconds in which this process was stopped or overloaded as silence."""
        for zone in self._last_contact_at:
            self._last_contact_at[zone] += excluded_s

    def any_recent_contact(self, zones: Iterable[str], now: float) -> bool:
        """Whether any of the zones answered within the last `recent_within` seconds."""
        since = now - self._recent_within
        return any(self._last_contact_at.get(zone, 0.0) > since for zone in zones)

    def is_dead(self, zone: str, now: float) -> bool:
        """Whether the zone has not answered for `dead_after` seconds.

        For a zone without a recorded answer, the silence is counted from this call.
        """
        return now - self._last_contact_at.setdefault(zone, now) >= self._dead_after

    def reset(self) -> None:
        """Discard all recorded answers."""
        self._last_contact_at.clear()


def is_probably_cut_off(watched: int, silent: int, reaches_other_zone: bool) -> bool:
    """Whether the relay itself is more likely cut off than most members of its zone are dead.

    Parameters
    ==========

    watched : number of members of the zone, besides the relay, that are not declared dead.
    silent : number of these that have been silent for too long.
    reaches_other_zone : whether a relay of another zone answered recently.
    """
    if silent * 2 <= watched or watched < MIN_MEMBERS_FOR_CUT_OFF_CHECK:
        return False
    return not reaches_other_zone
