"""The membership entry that describes this process to the other nodes.

Each change of the entry raises its sequence, so that other nodes replace the entry that they hold.
The digest table stores the entry and distributes it. A process that receives an entry declaring it
dead refutes it by an entry with a higher sequence.
"""

from __future__ import annotations

import msgspec

from crankseam.cluster.digest import DigestTable, MemberStatus
from crankseam.peers.messages import BackEndReport, Member


class LocalMember:
    """This process as a member; created once its addresses are known."""

    def __init__(self, entry: Member, digest: DigestTable) -> None:
        self.entry = entry
        self._digest = digest
        digest.merge_member(entry)
        digest.on_change(self._refute_death)

    @property
    def name(self) -> str:
        """Name of the node, which is the same in all incarnations."""
        return self.entry.name

    @property
    def incarnation(self) -> int:
        """Incarnation of this process: a number that is higher after every restart of the node."""
        return self.entry.incarnation

    @property
    def is_leaving(self) -> bool:
        """Whether a planned stop has begun."""
        return self.entry.status == MemberStatus.LEAVING

    def update(
        self,
        status: int | None = None,
        revision: int | None = None,
        caller_address: str | None = None,
    ) -> None:
        """Change fields of the entry and publish it; None leaves a field unchanged."""
        old = self.entry
        self.entry = msgspec.structs.replace(
            old,
            sequence=old.sequence + 1,
            status=old.status if status is None else status,
            revision=old.revision if revision is None else revision,
            caller_address=old.caller_address if caller_address is None else caller_address,
        )
        self._digest.merge_member(self.entry)

    def _refute_death(self, _change: Member | BackEndReport) -> None:
        """Replace an entry that declares this process dead by one with a higher sequence."""
        known = self._digest.member(self.name)
        if known is None or known == self.entry:
            return
        if known.incarnation == self.incarnation and known.sequence >= self.entry.sequence:
            self.entry = msgspec.structs.replace(self.entry, sequence=known.sequence)
            self.update()
