"""A duty that one node holds at a time, under a lease with a fencing token.

Owns one key of the key-value service and the lease that it hangs on. Relies on that service alone:
the duty is read and renewed by calls, three times a term, since nodes follow no keys.

`coordination/duty` is its counterpart on the users' platform, and differs by intent: there a
process has one lease for all it holds, learns of the holder by following the keys, leaves the duty
to a former holder for a moment, and pauses between two holders; here a holder gives up a margin
before its term instead. The keys differ too, so neither can hold the other's.
"""

from __future__ import annotations

import asyncio
import logging

from crankseam import clocks
from crankseam.backoff import Backoff
from crankseam.clients.key_value import KeyValueClient, Put, Unchanged
from crankseam.constants import DUTY_PREFIX
from crankseam.errors import KeyValueError

log = logging.getLogger(__name__)

SHORTEST_TERM_S = 1
"""The key-value service grants whole seconds."""
RENEWALS_PER_TERM = 3
"""Two may fail before the duty is lost. Origin not recorded."""
RETRY_BASE_S = 0.5
"""Upper bound of the first pause after a failed call. Origin not recorded."""
RETRY_CAP_S = 10.0
"""Upper bound of any pause, cut to one term. Origin not recorded."""
SHORTEST_RETRY_S = 0.1
"""Added to each pause, so that no two calls follow each other at once. Origin not recorded."""


class Duty:
    """Competes for one duty and knows whether this node holds it now.

    The fencing token is the key's create_revision: it grows with each holder, so that whoever is
    acted upon can refuse an earlier holder that wakes late.

    Args:
        name: what the duty is.
        holder: identity of this process.
        term: seconds of the lease.
        margin: seconds by which the holder gives up earlier than the service.
    """

    def __init__(
        self, key_value: KeyValueClient, name: str, holder: str, term: float, margin: float
    ) -> None:
        self._key_value = key_value
        self.name = name
        self._key = f"{DUTY_PREFIX}{name}"
        self._holder = holder
        self._term = max(SHORTEST_TERM_S, round(term))
        self._margin = margin
        self._lease = 0
        self._held_until = 0.0
        self.fence = 0
        self._backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)

    def is_held(self) -> bool:
        """Whether this node may act now. Ask again directly before each act."""
        return clocks.promised_s() < self._held_until

    async def run(self) -> None:
        """Acquire, renew, and compete again when lost, until cancelled."""
        while True:
            try:
                await self._step()
                self._backoff.reset()
                await asyncio.sleep(self._term / RENEWALS_PER_TERM)
            except KeyValueError:
                await asyncio.sleep(min(self._backoff.next_delay() + SHORTEST_RETRY_S, self._term))

    async def _step(self) -> None:
        if self._lease and await self._renew():
            return
        await self._acquire()

    async def _renew(self) -> bool:
        asked_at = clocks.promised_s()
        if await self._key_value.keep_alive(self._lease):
            if self.fence:
                self._held_until = asked_at + self._term - self._margin
            return bool(self.fence)
        self._lease = 0
        self.fence = 0
        self._held_until = 0.0
        return False

    async def _acquire(self) -> None:
        current = await self._key_value.get(self._key)
        if current is not None:
            # Ours if an earlier answer was lost after the write took effect.
            if current.value.decode() == f"{self._holder}/{self._lease}" and self._lease:
                self.fence = current.create_revision
            return
        asked_at = clocks.promised_s()
        if not self._lease:
            self._lease = await self._key_value.grant_lease(self._term)
        value = f"{self._holder}/{self._lease}".encode()
        created = await self._key_value.transact(
            [Unchanged(self._key, 0)], [Put(self._key, value, self._lease)]
        )
        if not created:
            return
        written = await self._key_value.get(self._key)
        if written is not None and written.value == value:
            self.fence = written.create_revision
            self._held_until = asked_at + self._term - self._margin
            log.info("duty acquired", extra={"duty": self.name, "fence": self.fence})

    async def release(self) -> None:
        """Give the duty up at once, so that another node need not wait for the term."""
        self._held_until = 0.0
        if self._lease:
            lease, self._lease, self.fence = self._lease, 0, 0
            try:
                await self._key_value.revoke_lease(lease)
            except KeyValueError:
                log.info("duty lapses on its own", extra={"duty": self.name})
