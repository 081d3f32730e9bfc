"""Exhaustive model checking of small systems: a value returned to a caller stays agreed.

A system consists of three replicas of one record and a few proposers, each with a fixed program of
rounds. Messages arrive in any order, late or never. A proposer may stop waiting for a fast round at
any time. A reader may read at any time and receive the answers of any majority in any order, all
taken at one moment or one after the other. The replicas (`ReplicaStore`) and the rules
(`agreement`) are the production code; the programs model `Proposer`. Each value is the list of the
changes that produced it, so of any two values returned to callers one must extend the other.

Proved for these sizes: agreement within one epoch with fast and classic rounds, and across one move
that two nodes carry out, where each reads any two replicas and reaches the new members in any
order. Not covered: two moves in succession, more proposers, replica sets that are founded again,
and expiry.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, replace

import pytest

from crankseam.peers.messages import (
    FAST_BALLOT,
    Accept,
    Accepted,
    AnyMessage,
    Ballot,
    Install,
    Prepare,
    Promise,
    ReadRecord,
    Rejected,
    ReplicaSet,
    Seal,
)
from crankseam.records.agreement import (
    agreed_by_majority,
    epoch_round_of,
    highest_accepted_value,
    make_ballot,
)
from crankseam.records.reconfigurer import merge_states
from crankseam.records.replica import Register, ReplicaStore, Slot
from crankseam.records.slots import majority

KEY = "record"
DATED = 1000
MEMBERS = ["a@1", "b@1", "c@1"]
OLD_SET = ReplicaSet(0, 1, MEMBERS, 0)
NEW_SET = ReplicaSet(0, 2, ["b@1", "d@1", "e@1"], 0)
MAX_STATES = 40_000
"""Maximum number of states of one system, which bounds a test case to about ten seconds. Two
proposers that change the record beside a slow reader have more states than can be explored in four
minutes."""

RegisterState = tuple[Ballot, Ballot | None, bytes | None]
"""Promised ballot, accepted ballot and value of a replica's register."""
UNUSED_REGISTER: RegisterState = (FAST_BALLOT, None, None)


def run(coroutine):
    """Run a coroutine that never suspends and return its result."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("a replica's handler suspended")


def make_store(member: str, held: RegisterState) -> ReplicaStore:
    store = ReplicaStore(member, lambda _set: None)
    promised, accepted, value = held
    store.slots[0] = Slot(OLD_SET, {KEY: Register(DATED, promised, accepted, value)})
    store._highest_epochs[0] = OLD_SET.epoch
    return store


def register_state_of(store: ReplicaStore) -> RegisterState:
    register = store.slots[0].registers[KEY]
    return register.promised, register.accepted, register.value


def deliver(held: RegisterState, message: AnyMessage) -> tuple[RegisterState, object]:
    store = make_store("a@1", held)
    answer = run(store.handlers()[type(message)]("peer", message))
    return register_state_of(store), answer


def append_change(value: bytes | None, change: str) -> bytes:
    """Return the value after a change; a change that it already contains is not repeated."""
    changes = value.decode().split(",") if value else []
    return ",".join(changes if change in changes else [*changes, change]).encode()


def extends(later: bytes, earlier: bytes) -> bool:
    return later == earlier or later.startswith(earlier + b",")


def positive_answer(answer: object) -> tuple:
    """Return (ballot, value) for a Promise, (None, None) for Accepted, and () for a refusal."""
    if isinstance(answer, Promise):
        return answer.accepted, answer.value
    return (None, None) if isinstance(answer, Accepted) else ()


@dataclass(frozen=True)
class Program:
    """The state of a proposer: its current round and its remaining rounds.

    Attributes:
        rounds: remaining rounds in order: "fast", "owned" (the write with the promised ballot),
            "classic" and "read". A classic round runs only if the round before it failed.
        phase: "fast", "owned", "prepare", "accept", "read" or "done".
        waiting: members that the message of this phase has not reached.
        heard: members that answered, each followed by its ballot and value if it did not refuse.
    """

    name: str
    rounds: tuple[str, ...]
    epoch_round: int
    phase: str
    waiting: tuple[str, ...] = ()
    heard: tuple[tuple, ...] = ()
    value: bytes = b""

    def message(self) -> AnyMessage:
        if self.phase == "read":
            return ReadRecord(0, 1, KEY)
        if self.phase == "fast":
            return Accept(0, 1, KEY, DATED, FAST_BALLOT, self.value, self.name)
        if self.phase == "owned":
            return Accept(0, 1, KEY, DATED, Ballot(1, self.name), self.value)
        ballot = make_ballot(OLD_SET, self.epoch_round, self.name)
        if self.phase == "prepare":
            return Prepare(0, 1, KEY, DATED, ballot)
        return Accept(0, 1, KEY, DATED, ballot, self.value)

    def start_next_round(self) -> Program:
        """Return the program at the start of its next round."""
        if not self.rounds:
            return replace(self, phase="done", waiting=(), heard=())
        first, *remaining = self.rounds
        if first == "classic":
            phase, value, epoch_round = "prepare", b"", self.epoch_round + 1
        elif first == "read":
            phase, value, epoch_round = "read", b"", self.epoch_round
        elif first == "owned":
            phase, value, epoch_round = (
                "owned",
                append_change(self.value, f"{self.name}2"),
                self.epoch_round,
            )
        else:
            phase, value, epoch_round = "fast", append_change(None, self.name), self.epoch_round
        all_members = tuple(MEMBERS)
        return Program(self.name, tuple(remaining), epoch_round, phase, all_members, (), value)

    def handle_answer(self, member: str, answer: object) -> tuple[Program, bytes | None]:
        """Return the program after an answer, and the value returned to its caller, if any."""
        waiting = tuple(other for other in self.waiting if other != member)
        heard = (*self.heard, (member, *positive_answer(answer)))
        now = replace(self, waiting=waiting, heard=heard)
        positive = [Promise(*parts) for _member, *parts in heard if parts]
        needed = len(MEMBERS) if self.phase == "fast" else majority(OLD_SET)
        if self.phase == "read":
            return now, None
        if len(positive) < needed:
            return (now if waiting else now.fall_back()), None
        if self.phase == "prepare":
            value = append_change(highest_accepted_value(positive), self.name)
            accepting = replace(now, phase="accept", waiting=tuple(MEMBERS), heard=(), value=value)
            return accepting, None
        if self.phase == "fast" and self.rounds[:1] == ("owned",):
            return now.start_next_round(), self.value
        return replace(now, rounds=(), phase="done", waiting=(), heard=()), self.value

    def fall_back(self) -> Program:
        """Return the program that continues after a failed or abandoned round."""
        classic = tuple(r for r in self.rounds if r == "classic")
        return replace(self, rounds=classic).start_next_round()


def make_program(name: str, *rounds: str, epoch_round: int = 1) -> Program:
    return Program(name, rounds, epoch_round, "done").start_next_round()


@dataclass(frozen=True)
class SystemState:
    """A state of the system.

    Attributes:
        replicas: state of the register on each replica.
        programs: state of each proposer.
        late: messages still in transit whose proposer no longer waits for an answer.
        returned: values returned to callers so far.
        reads_left: reads at one moment that may still occur.
    """

    replicas: tuple[RegisterState, ...]
    programs: tuple[Program, ...]
    late: frozenset[tuple[str, bytes, object]]
    returned: frozenset[bytes]
    reads_left: int


def abandoned_messages(before: Program, after: Program) -> set:
    """Return the messages still in transit of a round that its proposer abandoned."""
    if before.phase == "read" or (after.phase, after.epoch_round) == (
        before.phase,
        before.epoch_round,
    ):
        return set()
    message = before.message()
    return {(member, type(message).__name__, to_hashable(message)) for member in before.waiting}


def to_hashable(message: Prepare | Accept) -> tuple:
    value, owner = (message.value, message.owner) if isinstance(message, Accept) else (b"", "")
    return message.ballot, value, owner


def from_hashable(kind: str, parts: tuple) -> Prepare | Accept:
    ballot, value, owner = parts
    if kind == "Prepare":
        return Prepare(0, 1, KEY, DATED, ballot)
    return Accept(0, 1, KEY, DATED, ballot, value, owner)


def with_replica(state: SystemState, member: str, held: RegisterState) -> SystemState:
    index = MEMBERS.index(member)
    replicas = (*state.replicas[:index], held, *state.replicas[index + 1 :])
    return replace(state, replicas=replicas)


def with_returned_value(state: SystemState, value: bytes) -> SystemState:
    for earlier in state.returned:
        assert extends(value, earlier) or extends(earlier, value), (
            f"returned {earlier!r} and {value!r}"
        )
    return replace(state, returned=state.returned | {value})


def with_program(
    state: SystemState, index: int, after: Program, reached: str | None
) -> SystemState:
    before = state.programs[index]
    abandoned = {entry for entry in abandoned_messages(before, after) if entry[0] != reached}
    programs = (*state.programs[:index], after, *state.programs[index + 1 :])
    return replace(state, programs=programs, late=state.late | abandoned)


def successors(state: SystemState) -> Iterator[SystemState]:
    """Yield each state that can follow by one event."""
    for index, proposer in enumerate(state.programs):
        for member in proposer.waiting:
            held, answer = deliver(state.replicas[MEMBERS.index(member)], proposer.message())
            after, returned = proposer.handle_answer(member, answer)
            successor = with_program(with_replica(state, member, held), index, after, member)
            yield with_returned_value(successor, returned) if returned is not None else successor
        if proposer.phase == "read":
            yield from finish_read(state, index)
        if proposer.phase in ("fast", "owned") and proposer.heard:
            yield with_program(state, index, proposer.fall_back(), None)
    for entry in state.late:
        member, kind, parts = entry
        held, _answer = deliver(state.replicas[MEMBERS.index(member)], from_hashable(kind, parts))
        yield replace(with_replica(state, member, held), late=state.late - {entry})
    if state.reads_left:
        yield from atomic_reads(state)


def finish_read(state: SystemState, index: int) -> Iterator[SystemState]:
    """Yield the state after the read ends with its answers so far, if they prove a value."""
    reader = state.programs[index]
    answers = {member: Promise(*parts) for member, *parts in reader.heard}
    agreed = agreed_by_majority(OLD_SET, answers)
    if agreed is not None and agreed.value is not None:
        after = replace(reader, rounds=(), phase="done", waiting=(), heard=())
        yield with_returned_value(with_program(state, index, after, None), agreed.value)


def atomic_reads(state: SystemState) -> Iterator[SystemState]:
    answers = {
        member: Promise(accepted, value)
        for member, (_promised, accepted, value) in zip(MEMBERS, state.replicas, strict=True)
    }
    for count in (2, 3):
        for order in itertools.permutations(MEMBERS, count):
            agreed = agreed_by_majority(OLD_SET, {member: answers[member] for member in order})
            if agreed is None:
                continue
            for earlier in state.returned:
                assert agreed.value is not None, f"read nothing after {earlier!r}"
                assert extends(agreed.value, earlier), (
                    f"read {agreed.value!r} after {earlier!r} was returned"
                )
            if agreed.value is not None and agreed.value not in state.returned:
                yield replace(
                    with_returned_value(state, agreed.value), reads_left=state.reads_left - 1
                )


def reachable_states(state: SystemState) -> set[SystemState]:
    """Return all reachable states; raises AssertionError if a caller gets a wrong value."""
    visited = {state}
    frontier = [state]
    while frontier:
        for successor in successors(frontier.pop()):
            if successor not in visited:
                visited.add(successor)
                frontier.append(successor)
        assert len(visited) < MAX_STATES, "more states than the test's time allows"
    return visited


def initial_state(*programs: Program, reads_left: int = 2) -> SystemState:
    return SystemState((UNUSED_REGISTER,) * 3, programs, frozenset(), frozenset(), reads_left)


@pytest.mark.parametrize(
    "programs",
    [
        pytest.param(["p fast", "q fast", "r fast"], id="three create"),
        pytest.param(["p fast owned", "q classic"], id="owner and changer"),
        pytest.param(["p fast owned", "s read"], id="owner, slow reader"),
        pytest.param(["p fast classic", "q fast"], id="two create, one goes on"),
        pytest.param(["p classic", "q classic"], id="two change"),
        pytest.param(["p classic", "s read"], id="one changes, slow reader"),
        pytest.param(["p fast", "q fast", "s read"], id="two create, slow reader"),
    ],
)
def test_what_was_told_stays_true_in_every_order(programs):
    states = reachable_states(initial_state(*(make_program(*each.split()) for each in programs)))
    assert any(state.returned for state in states)


# --- one move carried out by two nodes


def old_set_states() -> list[tuple[tuple[RegisterState, ...], frozenset[bytes]]]:
    """Return each distinct state of the replicas and returned values when a move begins."""
    old = make_program("q", "classic", epoch_round=9)
    states = reachable_states(initial_state(make_program("p", "classic"), old, reads_left=0))
    return sorted({(state.replicas, state.returned) for state in states}, key=repr)


def move_state(stores: dict[str, ReplicaStore], readers: tuple[str, ...], targets) -> None:
    """Seal and read `readers` of the old set, then install the state on `targets` of the new."""
    seal = Seal(0, OLD_SET.epoch, NEW_SET, "")
    state = merge_states([run(stores[member].on_seal("mover", seal)) for member in readers])
    for member in targets:
        run(stores[member].on_install("mover", Install(NEW_SET, state)))


def collect_promises(stores, members: tuple[str, ...], name: str) -> tuple[Ballot, list[Promise]]:
    """Return the ballot and promises that a proposer new to the epoch gets from these members."""
    epoch_round = 1
    while True:
        ballot = make_ballot(NEW_SET, epoch_round, name)
        prepare = Prepare(0, 2, KEY, DATED, ballot)
        answers = [run(stores[member].on_prepare(name, prepare)) for member in members]
        rejected = [answer.promised for answer in answers if isinstance(answer, Rejected)]
        if not rejected:
            return ballot, answers
        epoch_round = max(epoch_round_of(NEW_SET, promised) for promised in rejected) + 1


def change_in_new_epoch(stores, members: tuple[str, ...]) -> bytes:
    """Change the record with a proposer that reaches these members; return the agreed value."""
    ballot, promises = collect_promises(stores, members, "young@1")
    value = append_change(highest_accepted_value(promises), "young")
    accept = Accept(0, 2, KEY, DATED, ballot, value)
    for member in members:
        assert isinstance(run(stores[member].on_accept("young@1", accept)), Accepted)
    return value


def value_read_from(stores, members: tuple[str, ...]) -> bytes | None:
    """Return the value that a classic round with the answers of these members continues with."""
    _ballot, promises = collect_promises(stores, members, "reader@1")
    return highest_accepted_value(promises)


def move_schedules() -> Iterator[tuple]:
    """Yield the members read by each moving node, those that the first one installs, and those
    that the last reader hears."""
    pairs = list(itertools.combinations(MEMBERS, 2))
    new_pairs = list(itertools.combinations(NEW_SET.members, 2))
    return itertools.product(pairs, pairs, new_pairs, new_pairs)


def test_two_movers_lose_nothing_that_was_told():
    schedule_count = 0
    for (held, returned), order in itertools.product(old_set_states(), move_schedules()):
        first_readers, second_readers, reached, heard = order
        stores = {m: make_store(m, h) for m, h in zip(MEMBERS, held, strict=True)}
        stores |= {m: ReplicaStore(m, lambda _set: None) for m in ("d@1", "e@1")}
        move_state(stores, first_readers, reached)
        value = change_in_new_epoch(stores, reached)
        for earlier in returned:
            assert extends(value, earlier), f"{order}: {value!r} after {earlier!r}"
        lagging = [member for member in NEW_SET.members if member not in reached]
        move_state(stores, second_readers, lagging)
        assert value_read_from(stores, heard) == value, f"{order}: {held}"
        schedule_count += 1
    assert schedule_count > 1000
