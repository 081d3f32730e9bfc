"""The parts of a process's quarantine, wired to a store and to the other processes.

Owns the choice of parts; a front and the product's own node differ only in how a process learns of
the others' suspects: by following the store, or by what peers tell.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from crankseam.coordination.follower import PrefixFollower
from crankseam.coordination.interface import TransactionStore
from crankseam.quarantine.publisher import PeerBroadcast, SuspectPublisher
from crankseam.quarantine.quarantine import Quarantine
from crankseam.quarantine.suspect_store import SuspectStore
from crankseam.quarantine.table import SuspectTable
from crankseam.serving.supervisor import Supervisor


@dataclass(frozen=True)
class QuarantineParts:
    """What one process needs to hold suspects back."""

    table: SuspectTable
    publisher: SuspectPublisher
    quarantine: Quarantine

    def follow(self, state: PrefixFollower) -> None:
        """Learn of suspects by a follower of the prefix of states."""
        state.listen(self.quarantine.prefix, self.quarantine.state_changed)

    def start(self, supervisor: Supervisor) -> None:
        """Start the background work."""
        supervisor.keep(self.publisher.run, "publish suspects")
        supervisor.keep(self.quarantine.run, "forget suspects")


def make_quarantine(
    store: TransactionStore,
    state_prefix: str,
    broadcast: PeerBroadcast,
    supervisor: Supervisor,
    is_sweeper: Callable[[], bool] = lambda: True,
    is_followed: bool = True,
) -> QuarantineParts:
    """The quarantine of a process.

    Parameters
    ==========

    state_prefix : the prefix that every process follows.
    is_sweeper : whether this process removes suspects whose time is over.
    is_followed : whether every process follows the store's prefix of states.
    """
    suspects = SuspectStore(store, state_prefix)
    table = SuspectTable()
    publisher = SuspectPublisher(suspects, table, broadcast, is_followed)
    quarantine = Quarantine(suspects, table, publisher, supervisor.once, is_sweeper)
    return QuarantineParts(table, publisher, quarantine)
