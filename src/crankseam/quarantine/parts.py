"""Builds the quarantine of a process, connected to a store and to the other processes.

Owns the choice of components. A front and a node use the same ones; they differ only in how a
process learns of suspects from other processes: a front follows the store, and a node receives
messages from its peers.
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
class QuarantineComponents:
    """The components of one process's quarantine."""

    table: SuspectTable
    publisher: SuspectPublisher
    quarantine: Quarantine

    def follow(self, state: PrefixFollower) -> None:
        """Subscribes to changes of suspects through a follower of the state prefix."""
        state.listen(self.quarantine.prefix, self.quarantine.state_changed)

    def start(self, supervisor: Supervisor) -> None:
        """Starts publishing suspects and releasing expired ones in the background."""
        supervisor.keep(self.publisher.run, "publish suspects")
        supervisor.keep(self.quarantine.run, "forget suspects")


def make_quarantine(
    store: TransactionStore,
    state_prefix: str,
    broadcast: PeerBroadcast,
    supervisor: Supervisor,
    is_sweeper: Callable[[], bool] = lambda: True,
    is_followed: bool = True,
) -> QuarantineComponents:
    """Builds the quarantine of a process.

    Parameters
    ==========

    state_prefix : the key prefix of deployment state in the store.
    broadcast : sends bytes to all other processes.
    is_sweeper : whether this process removes suspects whose retention is over.
    is_followed : whether every process follows the state prefix; if not, each stored change is also
        sent to the peers.
    """
    suspects = SuspectStore(store, state_prefix)
    table = SuspectTable()
    publisher = SuspectPublisher(suspects, table, broadcast, is_followed)
    quarantine = Quarantine(suspects, table, publisher, supervisor.once, is_sweeper)
    return QuarantineComponents(table, publisher, quarantine)
