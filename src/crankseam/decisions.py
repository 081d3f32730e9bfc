"""Log of decisions: what was observed, the candidates, why each was refused, and what was chosen.

A node keeps its own newest decisions and copies of other nodes'. Two other nodes, chosen by rank,
keep copies of this node's decisions, so that they can be queried after it has died. Losing a copy
costs history and never affects correctness.
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
from crankseam.records.slots import sort_by_rank

MAX_DECISIONS = 20_000
"""Decisions that a node keeps, its own and copies together; the oldest are dropped first."""
BATCH_INTERVAL_S = 0.2
"""Seconds between two batches to the nodes that keep copies."""
REMOTE_COPIES = 2
"""Other nodes that keep a copy; with the deciding node, as many as a record has replicas."""
MAX_BATCH = 500
"""Most decisions in one message, which keeps it far below `MAX_FRAME_BYTES`."""


class Candidate(msgspec.Struct):
    """One back end that was considered for a request, as the node saw it."""

    name: str
    load: float
    version: int = -1
    refused: str | None = None
    """Reason why the back end was not eligible; None if it was."""


class Decision(msgspec.Struct):
    """One decision, as it is stored and shown to operators."""

    decision_id: str
    kind: str
    """`route`, `refuse`, `sample`, `set_aside`, ..."""
    subject: str
    """Request id, idempotency key, sample or back end that the decision is about."""
    node: str
    revision: int
    at: str
    reason: str = ""
    choice: str | None = None
    candidates: list[Candidate] = []
    outcome: str = ""
    aliases: list[str] = []
    """Further ids by which the decision can be found."""


class DecisionLog:
    """Stores decisions, replicates them to other nodes and looks them up."""

    def __init__(self, agent: ClusterAgent) -> None:
        self._agent = agent
        self._sequence = itertools.count(1)
        self._by_id: OrderedDict[str, Decision] = OrderedDict()
        self._by_alias: dict[str, list[str]] = {}
        self._unsent: list[Decision] = []
        agent.transport.handle(StoreDecisions, self._on_store)
        agent.transport.handle(FetchDecision, self._on_fetch)

    @property
    def node(self) -> str:
        """Name of the node whose decisions are recorded here."""
        return self._agent.settings.name

    def new_id(self) -> str:
        """A new decision id, made of the node's name, its incarnation and a sequence number."""
        return (
            f"{self._agent.settings.name}.{self._agent.local.incarnation:x}.{next(self._sequence)}"
        )

    def record(self, decision: Decision) -> None:
        """Store a decision and queue it for the nodes that keep copies."""
        decision.at = datetime.now(UTC).isoformat(timespec="milliseconds")
        self._store(decision)
        self._unsent.append(decision)

    def _store(self, decision: Decision) -> None:
        self._by_id[decision.decision_id] = decision
        for alias in {decision.subject, *decision.aliases}:
            ids = self._by_alias.setdefault(alias, [])
            if decision.decision_id not in ids:
                ids.append(decision.decision_id)
        while len(self._by_id) > MAX_DECISIONS:
            _id, oldest = self._by_id.popitem(last=False)
            self._drop_aliases(oldest)

    def _drop_aliases(self, decision: Decision) -> None:
        for alias in {decision.subject, *decision.aliases}:
            ids = self._by_alias.get(alias, [])
            if decision.decision_id in ids:
                ids.remove(decision.decision_id)
            if not ids:
                self._by_alias.pop(alias, None)

    async def run(self) -> None:
        """Replicate new decisions in batches until cancelled."""
        while True:
            await asyncio.sleep(BATCH_INTERVAL_S)
            await self.flush()

    async def flush(self) -> None:
        """Send one batch of unsent decisions to the nodes that keep copies for this node."""
        batch, self._unsent = self._unsent[:MAX_BATCH], self._unsent[MAX_BATCH:]
        if not batch:
            return
        encoded = [(item.decision_id, msgspec.msgpack.encode(item)) for item in batch]
        message = StoreDecisions(encoded)
        for holder in self._copy_addresses(self._agent.settings.name)[:REMOTE_COPIES]:
            try:
                await self._agent.transport.call(
                    holder, message, self._agent.settings.timing.peer_timeout
                )
            except PeerError:
                continue  # the other copy suffices; a lost copy costs history, not correctness

    def _copy_addresses(self, origin: str) -> list[str]:
        members = self._agent.digest.alive_in_region(self._agent.settings.region)
        order = sort_by_rank(f"decisions/{origin}", members)
        own = self._agent.settings.name
        return [m.peer_address for m in order if m.name not in (origin, own)]

    async def _on_store(self, _peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, StoreDecisions)
        for _id, encoded in message.decisions:
            self._store(msgspec.msgpack.decode(encoded, type=Decision))
        return Done()

    async def _on_fetch(self, _peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, FetchDecision)
        found = self._find_local(message.decision_id)
        return DecisionAnswer([msgspec.msgpack.encode(item) for item in found])

    def _find_local(self, identifier: str) -> list[Decision]:
        if identifier in self._by_id:
            return [self._by_id[identifier]]
        return [self._by_id[i] for i in self._by_alias.get(identifier, []) if i in self._by_id]

    async def find(self, identifier: str) -> list[Decision]:
        """Find decisions by id, request id, idempotency key or sample on the region's nodes."""
        found = {item.decision_id: item for item in self._find_local(identifier)}
        members = self._agent.digest.alive_in_region(self._agent.settings.region)
        others = [m.peer_address for m in members if m.name != self._agent.settings.name]
        answers = await asyncio.gather(
            *(self._fetch_from(address, identifier) for address in others)
        )
        for decision in itertools.chain.from_iterable(answers):
            found.setdefault(decision.decision_id, decision)
        return sorted(found.values(), key=lambda item: item.at)

    async def _fetch_from(self, address: str, identifier: str) -> list[Decision]:
        timeout = self._agent.settings.timing.peer_timeout
        try:
            answer = await self._agent.transport.call_for(
                address, FetchDecision(identifier), DecisionAnswer, timeout
            )
        except PeerError:
            return []  # two other nodes keep copies of that node's decisions
        return [msgspec.msgpack.decode(item, type=Decision) for item in answer.decisions]
