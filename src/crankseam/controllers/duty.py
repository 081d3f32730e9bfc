"""Leader election for one duty: a lease in the key-value service with a fencing token.

Explanation
===========

Uses one key of the key-value service and the lease that is attached to it, and no other service.
Nodes do not watch keys, so a holder renews its lease and a candidate reads the key by calls, three
times a term.

`coordination/duty` is the counterpart on the users' platform and differs on purpose. There, a
process has one lease for everything that it holds, learns the holder by watching the keys, gives a
former holder a short priority and waits between two holders. Here, a holder stops a margin before
the end of its term instead. The two use different keys, so neither can take the other's duty.
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

MIN_TERM_S = 1
"""The key-value service grants leases in whole seconds."""
RENEWALS_PER_TERM = 3
"""Two renewals in a row may fail before the duty is lost."""
RETRY_BASE_S = 0.5
"""Upper bound of the first backoff after a failed call."""
RETRY_CAP_S = 10.0
"""Upper bound of any backoff; a pause is also limited to one term."""
MIN_RETRY_PAUSE_S = 0.1
"""Added to each backoff, so that a call is never repeated without a pause."""


class Duty:
    """Competes for one duty and tells whether this node holds it now.

    Explanation
    ===========

    The fencing token is the `create_revision` of the key, which increases with each holder. A
    recipient of orders can therefore refuse a former holder that resumes after a pause.

    Parameters
    ==========

    name : name of the duty, which determines its key.
    holder : identity of this process.
    term : duration of the lease in seconds.
    margin : seconds by which the holder stops before the service ends the lease.
    """

    def __init__(
        self, key_value: KeyValueClient, name: str, holder: str, term: float, margin: float
    ) -> None:
        self._key_value = key_value
        self.name = name
        self._key = f"{DUTY_PREFIX}{name}"
        self._holder = holder
        self._term = max(MIN_TERM_S, round(term))
        self._margin = margin
        self._lease = 0
        self._held_until = 0.0
        self.fence = 0
        self._backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)

    def is_held(self) -> bool:
        """Whether this node may act for the duty now. Check again directly before each action."""
        return clocks.boottime_s() < self._held_until

    async def run(self) -> None:
        """Acquire the duty, renew it, and compete again after its loss, until cancelled."""
        while True:
            try:
                await self._renew_or_acquire()
                self._backoff.reset()
                await asyncio.sleep(self._term / RENEWALS_PER_TERM)
            except KeyValueError:
                await asyncio.sleep(min(self._backoff.next_delay() + MIN_RETRY_PAUSE_S, self._term))

    async def _renew_or_acquire(self) -> None:
        if self._lease and await self._renew():
            return
        await self._acquire()

    async def _renew(self) -> bool:
        requested_at = clocks.boottime_s()
        if await self._key_value.keep_alive(self._lease):
            if self.fence:
                self._held_until = requested_at + self._term - self._margin
            return bool(self.fence)
        self._lease = 0
        self.fence = 0
        self._held_until = 0.0
        return False

    async def _acquire(self) -> None:
        current = await self._key_value.get(self._key)
        if current is not None:
            # The key holds this node's value if the answer to an earlier write was lost.
            if current.value.decode() == f"{self._holder}/{self._lease}" and self._lease:
                self.fence = current.create_revision
            return
        requested_at = clocks.boottime_s()
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
            self._held_until = requested_at + self._term - self._margin
            log.info("duty acquired", extra={"duty": self.name, "fence": self.fence})

    async def release(self) -> None:
        """Release the duty at once, so that another node need not wait for the end of the term."""
        self._held_until = 0.0
        if self._lease:
            lease, self._lease, self.fence = self._lease, 0, 0
            try:
                await self._key_value.revoke_lease(lease)
            except KeyValueError:
                log.info("duty lapses on its own", extra={"duty": self.name})
