"""All messages between nodes, as tagged msgspec structs encoded to MessagePack arrays.

Owns the bytes between nodes: a message's tag (its class name, where none is given) and the order of
its fields are on the wire, and nodes of two builds talk to each other while one replaces the other.
Members, reports and replica sets are stored and passed on in the same form.
"""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, array_like=True, tag=True):
    """Base of all messages; the tag is the class name."""


class Ballot(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Order of proposals: a round, then the proposer's identity. Round 0 is the fast round."""

    round: int = 0
    proposer: str = ""


FAST_BALLOT = Ballot()


# --- connection


class Hello(Message, tag="h"):
    """First message on a connection: who calls."""

    node: str
    incarnation: int


class Refusal(Message, tag="e"):
    """The peer could not answer the call; `reason` is the error's type name."""

    reason: str


class Done(Message, tag="d"):
    """The call was carried out; there is nothing to return."""


# --- replicated records


class ReplicaSet(msgspec.Struct, array_like=True, frozen=True):
    """The replicas of one slot. Members are `node@incarnation`."""

    slot: int
    epoch: int
    members: list[str]
    floor: int = 0
    """Record ids dated at or before this (milliseconds) are refused: their records may be lost."""
    founded: bool = False
    """Agreed through the key-value service, with no state to carry over from an earlier set."""


class Prepare(Message, tag="p"):
    """Phase one: promise to refuse lower ballots, and tell what was accepted."""

    slot: int
    epoch: int
    key: str
    dated: int
    ballot: Ballot


class Promise(Message, tag="P"):
    """The ballot is promised; `value` is what was accepted at `accepted`, None if nothing."""

    accepted: Ballot | None
    value: bytes | None


class Accept(Message, tag="a"):
    """Phase two: accept the value. A fast ballot asks for acceptance only where nothing stands."""

    slot: int
    epoch: int
    key: str
    dated: int
    ballot: Ballot
    value: bytes
    owner: str = ""


class Accepted(Message, tag="A"):
    """The value was accepted."""


class ReadRecord(Message, tag="r"):
    """Ask for what is accepted, promising nothing."""

    slot: int
    epoch: int
    key: str


class Rejected(Message, tag="R"):
    """A higher ballot was promised, or (fast) something stands already."""

    promised: Ballot


class StaleEpoch(Message, tag="s"):
    """The slot has moved on; `replica_set` is the newest this replica knows."""

    replica_set: ReplicaSet | None


class Expired(Message, tag="x"):
    """The record's id is older than what this replica remembers."""


class Seal(Message, tag="S"):
    """End an epoch: refuse its operations from now on and return a page of the slot's state."""

    slot: int
    epoch: int
    next_set: ReplicaSet
    after: str = ""
    """Key after which the page begins."""


class StoredRecord(msgspec.Struct, array_like=True):
    """One register as a replica holds it."""

    key: str
    dated: int
    accepted: Ballot
    value: bytes


class SlotState(Message, tag="T"):
    """Registers of a slot in order of key, and the newest date that was dropped."""

    records: list[StoredRecord]
    forgotten: int
    is_last: bool = True
    """False: more pages follow after the last key."""


class Install(Message, tag="I"):
    """Start an epoch on a new member with the merged state of the old one, page by page."""

    replica_set: ReplicaSet
    state: SlotState


# --- membership and configuration


class Member(msgspec.Struct, array_like=True, frozen=True):
    """What is known of one node."""

    name: str
    region: str
    zone: str
    peer_address: str
    caller_address: str
    incarnation: int
    sequence: int
    status: int = 0
    """A `MemberStatus` value."""
    revision: int = 0
    """Configuration revision the node serves under."""
    caches_weights: bool = False
    """Whether the node has a data folder and serves weights from it."""

    @property
    def identity(self) -> str:
        """`name@incarnation`: one run of one process."""
        return f"{self.name}@{self.incarnation}"


class BackEndReport(msgspec.Struct, array_like=True, frozen=True):
    """A watcher's observation of one back end."""

    target: str
    """`Service or pool name/back end name`."""
    watcher: str
    sequence: int
    alive: bool
    leaving: bool
    running: int
    waiting: int
    version: int
    """Weight version served; -1 for app servers."""
    zone: str = ""
    set_aside: str = ""
    """Why the weight coordinator took it out of routing; empty if it did not."""


class Entries(msgspec.Struct, array_like=True):
    """A part of the digest: what changed since a version of the sender's table."""

    version: int = 0
    members: list[Member] = []
    back_ends: list[BackEndReport] = []
    replica_sets: list[ReplicaSet] = []
    pulses: dict[str, int] = {}
    """By zone, a number that the zone's first relay raises at each heartbeat."""


class ConfigurationReading(msgspec.Struct, array_like=True, frozen=True):
    """The configuration register as a majority held it `age` seconds ago."""

    revision: int = 0
    age: float = float("inf")


class Heartbeat(Message, tag="hb"):
    """From a node to a relay of its zone: itself, what it observed, and what it has."""

    member: Member
    back_ends: list[BackEndReport]
    replica_sets: list[ReplicaSet]
    relay_incarnation: int
    known_version: int
    """Version of the relay's table that the node has; -1 asks for no entries."""


class HeartbeatAnswer(Message, tag="HB"):
    """From the relay: what changed, and the newest reading of the configuration register."""

    relay_incarnation: int
    entries: Entries
    configuration: ConfigurationReading


class Exchange(Message, tag="x1"):
    """Between relays: send what changed in your zone since `known_version`."""

    member: Member
    relay_incarnation: int
    known_version: int
    known_zones: int = 0
    """Zones that the sender knows; a peer that knows more adds their relays to its answer."""


class ExchangeAnswer(Message, tag="X1"):
    """Entries of the answering relay's own zone."""

    relay_incarnation: int
    entries: Entries
    heard: dict[str, int] = {}
    """Milliseconds since the relay itself heard each member (only to relays of its own zone)."""


class Nudge(Message, tag="n"):
    """Something urgent changed; do not wait for the next heartbeat.

    Attributes:
        revision: newest revision in the configuration register, 0 if that is not the news.
        entries: the news itself: deaths, and back ends that are leaving.
    """

    revision: int = 0
    entries: Entries = msgspec.field(default_factory=lambda: Entries())


class FetchSnapshot(Message, tag="fs"):
    """Ask for the stored snapshot of at least this revision."""

    revision: int


class SnapshotAnswer(Message, tag="FS"):
    """An encoded StoredSnapshot, or None when the peer lacks it."""

    content: bytes | None


# --- sampler streams


class RunCompletion(Message, tag="rc"):
    """Read one completion from a sampler to its end, for the node that drives the step."""

    address: str
    request_id: str
    prompt: str
    max_tokens: int
    prior_tokens: list[int]
    priority: int


class CompletionOutcome(Message, tag="RC"):
    """What came of a stream: whole, broken off after some tokens, or refused."""

    tokens: list[int]
    segments: list[tuple[int, int, int]]
    """(version, start, end) over [0, len(tokens))."""
    finished: bool = False
    cut_by_bound: bool = False
    refused: bool = False
    broke: str = ""


class CancelCompletion(Message, tag="cc"):
    """The caller no longer wants a completion it asked for."""

    request_id: str


# --- decisions


class TellSuspects(Message, tag="ts"):
    """News of requests under which back ends ended: an encoded `SuspectNews`."""

    news: bytes


class StoreDecisions(Message, tag="sd"):
    """Keep these encoded decisions, so that they outlive their maker."""

    decisions: list[tuple[str, bytes]]


class FetchDecision(Message, tag="fd"):
    """Ask for a decision by its id or by the request it belongs to."""

    decision_id: str


class DecisionAnswer(Message, tag="FD"):
    """The encoded decisions found."""

    decisions: list[bytes]


AnyMessage = (
    Hello
    | Refusal
    | Done
    | Prepare
    | Promise
    | Accept
    | Accepted
    | ReadRecord
    | Rejected
    | StaleEpoch
    | Expired
    | Seal
    | SlotState
    | Install
    | Heartbeat
    | HeartbeatAnswer
    | Exchange
    | ExchangeAnswer
    | Nudge
    | FetchSnapshot
    | SnapshotAnswer
    | RunCompletion
    | CompletionOutcome
    | CancelCompletion
    | TellSuspects
    | StoreDecisions
    | FetchDecision
    | DecisionAnswer
)


class Frame(msgspec.Struct, array_like=True):
    """A message with the number of the call it belongs to; answers carry the call's number."""

    call: int
    is_answer: bool
    message: AnyMessage


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Bytes of a frame, with its length in four bytes in front."""
    body = _encoder.encode(frame)
    return len(body).to_bytes(4, "big") + body


def decode_frame(body: bytes) -> Frame:
    """The frame in `body` (without the length). Raises msgspec.DecodeError."""
    return _decoder.decode(body)
