"""Decisions: what was seen, which candidates there were, why each was refused, what was chosen.

Owns this node's newest decisions and copies of others'. Relies on two other nodes, chosen by rank,
to keep copies, so that they can be asked for after their maker has died. A lost copy costs history,
never correctness.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import OrderedDict
from datetime import UTC, datetime

import msgspec

from crankseam.cluster.agent import ClusterAgent
from crankseam.errors import PeerError
from crankseam.peers.messages import (
    AnyMessage,
    DecisionAnswer,
    Done,
    FetchDecision,
    StoreDecisions,
)
from crankseam.records.slots import ranked

KEPT_DECISIONS = 20_000
"""Decisions that a node holds, its own and copies; the oldest go first. Origin not recorded."""
BATCH_S = 0.2
"""Between two batches to the nodes that keep copies. Origin not recorded."""
COPIES = 2
"""Nodes that keep a copy: with the maker as many as replicas of a record."""
MAX_BATCH = 500
"""Decisions in one message, which keeps it far below the largest frame. Origin not recorded."""


class Candidate(msgspec.Struct):
    """One back end that was considered."""

    name: str
    load: float
    version: int = -1
    refused: str | None = None
    """Why it was not eligible; None if it was."""


class Decision(msgspec.Struct):
    """One decision as it is stored and shown."""

    decision_id: str
    kind: str
    """`route`, `refuse`, `sample`, `set_aside`, ..."""
    subject: str
    """Request id, idempotency key, sample or back end that it is about."""
    node: str
    revision: int
    at: str
    reason: str = ""
    choice: str | None = None
    candidates: list[Candidate] = []
    outcome: str = ""
    aliases: list[str] = []
    """Further ids under which it can be asked for."""


class DecisionLog:
    """Makes, keeps, copies and finds decisions."""

    def __init__(self, agent: ClusterAgent) -> None:
        self._agent = agent
        self._numbers = itertools.count(1)
        self._kept: OrderedDict[str, Decision] = OrderedDict()
        self._by_alias: dict[str, list[str]] = {}
        self._unsent: list[Decision] = []
        agent.transport.handle(StoreDecisions, self._on_store)
        agent.transport.handle(FetchDecision, self._on_fetch)

    @property
    def node(self) -> str:
        """Name of the node that makes these decisions."""
        return self._agent.settings.name

    def new_id(self) -> str:
        """An id that names its maker."""
        return (
            f"{self._agent.settings.name}.{self._agent.local.incarnation:x}.{next(self._numbers)}"
        )

    def record(self, decision: Decision) -> None:
        """Keep a decision and have it copied with the next batch."""
        decision.at = datetime.now(UTC).isoformat(timespec="milliseconds")
        self._keep(decision)
        self._unsent.append(decision)

    def _keep(self, decision: Decision) -> None:
        self._kept[decision.decision_id] = decision
        for alias in {decision.subject, *decision.aliases}:
            ids = self._by_alias.setdefault(alias, [])
            if decision.decision_id not in ids:
                ids.append(decision.decision_id)
        while len(self._kept) > KEPT_DECISIONS:
            _id, oldest = self._kept.popitem(last=False)
            self._drop_aliases(oldest)

    def _drop_aliases(self, decision: Decision) -> None:
        for alias in {decision.subject, *decision.aliases}:
            ids = self._by_alias.get(alias, [])
            if decision.decision_id in ids:
                ids.remove(decision.decision_id)
            if not ids:
                self._by_alias.pop(alias, None)

    async def run(self) -> None:
        """Copy new decisions in batches until cancelled."""
        while True:
            await asyncio.sleep(BATCH_S)
            await self.flush()

    async def flush(self) -> None:
        """Send what is unsent to the nodes that keep this node's copies."""
        batch, self._unsent = self._unsent[:MAX_BATCH], self._unsent[MAX_BATCH:]
        if not batch:
            return
        encoded = [(item.decision_id, msgspec.msgpack.encode(item)) for item in batch]
        message = StoreDecisions(encoded)
        for holder in self._copy_holders(self._agent.settings.name)[:COPIES]:
            try:
                await self._agent.transport.call(
                    holder, message, self._agent.settings.timing.peer_timeout
                )
            except PeerError:
                continue  # the other copy is enough; a lost one costs history, not correctness

    def _copy_holders(self, maker: str) -> list[str]:
        members = self._agent.digest.alive_in_region(self._agent.settings.region)
        order = ranked(f"decisions/{maker}", members)
        own = self._agent.settings.name
        return [m.peer_address for m in order if m.name not in (maker, own)]

    async def _on_store(self, _peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, StoreDecisions)
        for _id, encoded in message.decisions:
            self._keep(msgspec.msgpack.decode(encoded, type=Decision))
        return Done()

    async def _on_fetch(self, _peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, FetchDecision)
        found = self._find_here(message.decision_id)
        return DecisionAnswer([msgspec.msgpack.encode(item) for item in found])

    def _find_here(self, wanted: str) -> list[Decision]:
        if wanted in self._kept:
            return [self._kept[wanted]]
        return [self._kept[i] for i in self._by_alias.get(wanted, []) if i in self._kept]

    async def find(self, wanted: str) -> list[Decision]:
        """Decisions by id, request id, idempotency key or sample, from all nodes of the region."""
        found = {item.decision_id: item for item in self._find_here(wanted)}
        members = self._agent.digest.alive_in_region(self._agent.settings.region)
        others = [m.peer_address for m in members if m.name != self._agent.settings.name]
        answers = await asyncio.gather(*(self._ask(address, wanted) for address in others))
        for decision in itertools.chain.from_iterable(answers):
            found.setdefault(decision.decision_id, decision)
        return sorted(found.values(), key=lambda item: item.at)

    async def _ask(self, address: str, wanted: str) -> list[Decision]:
        timeout = self._agent.settings.timing.peer_timeout
        try:
            answer = await self._agent.transport.call_for(
                address, FetchDecision(wanted), DecisionAnswer, timeout
            )
        except PeerError:
            return []  # copies of what that node decided are kept by two others
        return [msgspec.msgpack.decode(item, type=Decision) for item in answer.decisions]
