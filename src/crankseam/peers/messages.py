"""All messages between nodes, as tagged msgspec structs encoded as MessagePack arrays.

Owns the wire format between nodes. The tag of a message (its class name unless another tag is
given) and the order of its fields are part of that format, and nodes of two builds must understand
each other during a rolling upgrade. Members, reports and replica sets are stored and forwarded in
the same format.
"""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, array_like=True, tag=True):
    """Base class of all messages; the tag is the class name unless a subclass gives another."""


class Ballot(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Number of a proposal, ordered by round and then by the proposer's identity.

    Round 0 is the fast round.
    """

    round: int = 0
    proposer: str = ""


FAST_BALLOT = Ballot()


# --- connection


class Hello(Message, tag="h"):
    """First message on a connection: the node that opened it and its incarnation."""

    node: str
    incarnation: int


class Refusal(Message, tag="e"):
    """The peer could not answer the call; `reason` is the type name of the error."""

    reason: str


class Done(Message, tag="d"):
    """The call was carried out and has no result."""


# --- replicated records


class ReplicaSet(msgspec.Struct, array_like=True, frozen=True):
    """The replicas of one slot in one epoch. Members are identities `node@incarnation`."""

    slot: int
    epoch: int
    members: list[str]
    floor: int = 0
    """Record ids of this date (milliseconds) or older are refused: their records may be lost."""
    founded: bool = False
    """Whether the set was agreed through the key-value service and takes over no earlier state."""


class Prepare(Message, tag="p"):
    """Phase one: asks to promise the ballot, and for the accepted value.

    A replica that promises a ballot refuses lower ones.
    """

    slot: int
    epoch: int
    key: str
    dated: int
    ballot: Ballot


class Promise(Message, tag="P"):
    """The ballot is promised; `value` was accepted at ballot `accepted`.

    Both are None if no value was accepted. Also the answer to `ReadRecord`, which promises nothing.
    """

    accepted: Ballot | None
    value: bytes | None


class Accept(Message, tag="a"):
    """Phase two: asks to accept the value.

    At the fast ballot, a replica accepts only if the register is unused.
    """

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
    """Asks for the accepted ballot and value of a record without a promise."""

    slot: int
    epoch: int
    key: str


class Rejected(Message, tag="R"):
    """The replica has promised a higher ballot, or the register is in use (fast round)."""

    promised: Ballot


class StaleEpoch(Message, tag="s"):
    """The replica does not serve the epoch asked for.

    `replica_set` is the newest set that the replica knows for the slot; None if it knows none.
    """

    replica_set: ReplicaSet | None


class Expired(Message, tag="x"):
    """The record's id is so old that this replica may already have dropped the record."""


class Seal(Message, tag="S"):
    """Ends an epoch on a replica and asks for a page of the slot's state.

    The replica refuses all later operations of the epoch.
    """

    slot: int
    epoch: int
    next_set: ReplicaSet
    after: str = ""
    """The page contains keys above this one."""


class StoredRecord(msgspec.Struct, array_like=True):
    """The accepted state of one register, as transferred between replicas."""

    key: str
    dated: int
    accepted: Ballot
    value: bytes


class SlotState(Message, tag="T"):
    """A page of a slot's registers in the order of their keys.

    `forgotten` is the date of the newest dropped record.
    """

    records: list[StoredRecord]
    forgotten: int
    is_last: bool = True
    """Whether this is the last page; if not, the next one starts after the last key."""


class Install(Message, tag="I"):
    """A page of the merged state of the old epoch for a member of the new set.

    The last page starts the new epoch on that member.
    """

    replica_set: ReplicaSet
    state: SlotState


# --- membership and configuration


class Member(msgspec.Struct, array_like=True, frozen=True):
    """Membership information about one node."""

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
    """Revision of the configuration that the node applies."""
    caches_weights: bool = False
    """Whether the node has a data folder and serves cached weights from it."""

    @property
    def identity(self) -> str:
        """`name@incarnation`, which identifies one run of the node's process."""
        return f"{self.name}@{self.incarnation}"


class BackEndReport(msgspec.Struct, array_like=True, frozen=True):
    """Observation of one back end by the node that watches it."""

    target: str
    """`<service or pool name>/<back end name>`."""
    watcher: str
    sequence: int
    alive: bool
    leaving: bool
    running: int
    waiting: int
    version: int
    """Weight version that the back end serves; -1 for app servers."""
    zone: str = ""
    set_aside: str = ""
    """Reason why the weight coordinator took the back end out of routing; empty if it did not."""


class Entries(msgspec.Struct, array_like=True):
    """Entries of the sender's digest that changed since a version of its table."""

    version: int = 0
    members: list[Member] = []
    back_ends: list[BackEndReport] = []
    replica_sets: list[ReplicaSet] = []
    pulses: dict[str, int] = {}
    """Counter of each zone, which the zone's first relay increments at each heartbeat."""


class ConfigurationReading(msgspec.Struct, array_like=True, frozen=True):
    """Configuration revision that a majority of replicas held `age` seconds ago."""

    revision: int = 0
    age: float = float("inf")


class Heartbeat(Message, tag="hb"):
    """From a node to a relay of its zone: its own state, its observations and its replica sets."""

    member: Member
    back_ends: list[BackEndReport]
    replica_sets: list[ReplicaSet]
    relay_incarnation: int
    known_version: int
    """Version of the relay's table that the node already has; -1 asks for no entries."""


class HeartbeatAnswer(Message, tag="HB"):
    """From the relay: changed entries and the newest reading of the configuration register."""

    relay_incarnation: int
    entries: Entries
    configuration: ConfigurationReading


class Exchange(Message, tag="x1"):
    """Between relays: asks for the entries of the peer's zone changed since `known_version`."""

    member: Member
    relay_incarnation: int
    known_version: int
    known_zones: int = 0
    """Number of zones that the sender knows; a peer that knows more adds their relays."""


class ExchangeAnswer(Message, tag="X1"):
    """Changed entries of the answering relay's zone."""

    relay_incarnation: int
    entries: Entries
    heard: dict[str, int] = {}
    """Milliseconds since the relay itself last heard from each member.

    Filled only in answers to relays of the same zone.
    """


class Nudge(Message, tag="n"):
    """Urgent changes, sent without waiting for the next heartbeat.

    Attributes:
        revision: newest revision in the configuration register; 0 if it did not change.
        entries: the urgent entries: dead members, and back ends that are leaving.
    """

    revision: int = 0
    entries: Entries = msgspec.field(default_factory=lambda: Entries())


class FetchSnapshot(Message, tag="fs"):
    """Asks for a stored configuration snapshot of this revision or a newer one."""

    revision: int


class SnapshotAnswer(Message, tag="FS"):
    """An encoded `StoredSnapshot`, or None if the peer has none that is new enough."""

    content: bytes | None


# --- sampler streams


class RunCompletion(Message, tag="rc"):
    """Asks to read a completion from a sampler to its end, for the node that drives the step."""

    address: str
    request_id: str
    prompt: str
    max_tokens: int
    prior_tokens: list[int]
    priority: int


class CompletionOutcome(Message, tag="RC"):
    """Result of a stream: finished, interrupted after some tokens, or refused."""

    tokens: list[int]
    segments: list[tuple[int, int, int]]
    """(weight version, start, end) of each range of tokens; the ranges cover all tokens."""
    finished: bool = False
    cut_by_bound: bool = False
    refused: bool = False
    broke: str = ""


class CancelCompletion(Message, tag="cc"):
    """Asks to cancel a completion that the same caller requested."""

    request_id: str


# --- decisions


class TellSuspects(Message, tag="ts"):
    """An encoded `SuspectNews` about requests during which back ends ended."""

    news: bytes


class StoreDecisions(Message, tag="sd"):
    """Asks to store these encoded decisions, so that they survive the node that made them."""

    decisions: list[tuple[str, bytes]]


class FetchDecision(Message, tag="fd"):
    """Asks for a decision by its id or by the request it belongs to."""

    decision_id: str


class DecisionAnswer(Message, tag="FD"):
    """The encoded decisions that were found; empty if none was."""

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
    """A message with the number of its call; an answer has the number of the call it answers."""

    call: int
    is_answer: bool
    message: AnyMessage


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame, preceded by its length as a four-byte big-endian number."""
    body = _encoder.encode(frame)
    return len(body).to_bytes(4, "big") + body


def decode_frame(body: bytes) -> Frame:
    """Decode a frame from `body`, without the length; raises msgspec.DecodeError."""
    return _decoder.decode(body)
