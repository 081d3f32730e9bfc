"""Every order of messages in small worlds: what was told once stays true.

A world is three replicas of one record and a few proposers, each a fixed program of rounds.
Messages arrive in any order, late or never; a proposer may stop waiting for a fast round at any
moment; a reader may look at any moment and hear any majority in any order, at one moment or one
after the other. Replicas are the product's own (`ReplicaStore`), as are the rules (`agreement`);
the programs stand for `Proposer`. Each value is the list of the changes that made it, so that
values told to callers must continue one another.

Proved here, for these sizes: agreement within one epoch with fast and classic rounds, and over one
move made by two movers who read any two replicas and reach the members in any order. Not proved
here: two moves in a row, more proposers, replicas that are founded anew, and expiry.
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
MOST_WORLDS = 40_000
"""States that a world may have, so that the test's time has a bound: some ten seconds each. Two
changers with a slow reader have more than could be played in four minutes."""

Held = tuple[Ballot, Ballot | None, bytes | None]
"""What a replica holds: promised, accepted, value."""
UNTOUCHED: Held = (FAST_BALLOT, None, None)


def run(coroutine):
    """The outcome of a coroutine that waits for nothing."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("a replica waited for something")


def store_of(member: str, held: Held) -> ReplicaStore:
    store = ReplicaStore(member, lambda _set: None)
    promised, accepted, value = held
    store.slots[0] = Slot(OLD_SET, {KEY: Register(DATED, promised, accepted, value)})
    store._highest_epochs[0] = OLD_SET.epoch
    return store


def held_by(store: ReplicaStore) -> Held:
    register = store.slots[0].registers[KEY]
    return register.promised, register.accepted, register.value


def deliver(held: Held, message: AnyMessage) -> tuple[Held, object]:
    store = store_of("a@1", held)
    answer = run(store.handlers()[type(message)]("peer", message))
    return held_by(store), answer


def added(value: bytes | None, change: str) -> bytes:
    """The value after a change; a change that is in it already is not made again."""
    changes = value.decode().split(",") if value else []
    return ",".join(changes if change in changes else [*changes, change]).encode()


def continues(later: bytes, earlier: bytes) -> bool:
    return later == earlier or later.startswith(earlier + b",")


def good_answer(answer: object) -> tuple:
    """Ballot and value of a promise, two empty ones of an acceptance, and nothing of a refusal."""
    if isinstance(answer, Promise):
        return answer.accepted, answer.value
    return (None, None) if isinstance(answer, Accepted) else ()


@dataclass(frozen=True)
class Program:
    """A proposer's rounds still to come and the one under way.

    Attributes:
        rounds: "fast", "owned" (the write with the promised ballot), "classic" and "read", in
            order; a classic round is taken only if what came before it did not succeed.
        phase: "fast", "owned", "prepare", "accept", "read" or "done".
        waiting: members that the message of this phase has not reached.
        heard: members that answered, with the ballot and value of those that gave a good answer.
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

    def begun(self) -> Program:
        """With the next round begun."""
        if not self.rounds:
            return replace(self, phase="done", waiting=(), heard=())
        first, *rest = self.rounds
        if first == "classic":
            phase, value, epoch_round = "prepare", b"", self.epoch_round + 1
        elif first == "read":
            phase, value, epoch_round = "read", b"", self.epoch_round
        elif first == "owned":
            phase, value, epoch_round = (
                "owned",
                added(self.value, f"{self.name}2"),
                self.epoch_round,
            )
        else:
            phase, value, epoch_round = "fast", added(None, self.name), self.epoch_round
        everyone = tuple(MEMBERS)
        return Program(self.name, tuple(rest), epoch_round, phase, everyone, (), value)

    def after(self, member: str, answer: object) -> tuple[Program, bytes | None]:
        """With an answer heard, and the value that its caller is told now."""
        waiting = tuple(other for other in self.waiting if other != member)
        heard = (*self.heard, (member, *good_answer(answer)))
        now = replace(self, waiting=waiting, heard=heard)
        good = [Promise(*parts) for _member, *parts in heard if parts]
        needed = len(MEMBERS) if self.phase == "fast" else majority(OLD_SET)
        if self.phase == "read":
            return now, None
        if len(good) < needed:
            return (now if waiting else now.without_success()), None
        if self.phase == "prepare":
            value = added(highest_accepted_value(good), self.name)
            accepting = replace(now, phase="accept", waiting=tuple(MEMBERS), heard=(), value=value)
            return accepting, None
        if self.phase == "fast" and self.rounds[:1] == ("owned",):
            return now.begun(), self.value
        return replace(now, rounds=(), phase="done", waiting=(), heard=()), self.value

    def without_success(self) -> Program:
        """The way that is taken after a round that failed or is not waited for any more."""
        classic = tuple(r for r in self.rounds if r == "classic")
        return replace(self, rounds=classic).begun()


def program(name: str, *rounds: str, epoch_round: int = 1) -> Program:
    return Program(name, rounds, epoch_round, "done").begun()


@dataclass(frozen=True)
class World:
    """Replicas, proposers, messages that nobody waits for, and what callers were told."""

    replicas: tuple[Held, ...]
    programs: tuple[Program, ...]
    late: frozenset[tuple[str, bytes, object]]
    told: frozenset[bytes]
    reads_left: int


def left_behind(before: Program, after: Program) -> set:
    """Messages still under way of a round that its proposer left."""
    if before.phase == "read" or (after.phase, after.epoch_round) == (
        before.phase,
        before.epoch_round,
    ):
        return set()
    message = before.message()
    return {(member, type(message).__name__, frozen(message)) for member in before.waiting}


def frozen(message: Prepare | Accept) -> tuple:
    value, owner = (message.value, message.owner) if isinstance(message, Accept) else (b"", "")
    return message.ballot, value, owner


def thawed(kind: str, parts: tuple) -> Prepare | Accept:
    ballot, value, owner = parts
    if kind == "Prepare":
        return Prepare(0, 1, KEY, DATED, ballot)
    return Accept(0, 1, KEY, DATED, ballot, value, owner)


def with_replica(world: World, member: str, held: Held) -> World:
    index = MEMBERS.index(member)
    replicas = (*world.replicas[:index], held, *world.replicas[index + 1 :])
    return replace(world, replicas=replicas)


def with_told(world: World, value: bytes) -> World:
    for earlier in world.told:
        assert continues(value, earlier) or continues(earlier, value), (
            f"told {earlier!r} and {value!r}"
        )
    return replace(world, told=world.told | {value})


def with_program(world: World, index: int, after: Program, reached: str | None) -> World:
    before = world.programs[index]
    rest = {entry for entry in left_behind(before, after) if entry[0] != reached}
    programs = (*world.programs[:index], after, *world.programs[index + 1 :])
    return replace(world, programs=programs, late=world.late | rest)


def steps(world: World) -> Iterator[World]:
    """Each world that may follow by one event."""
    for index, proposer in enumerate(world.programs):
        for member in proposer.waiting:
            held, answer = deliver(world.replicas[MEMBERS.index(member)], proposer.message())
            after, told = proposer.after(member, answer)
            following = with_program(with_replica(world, member, held), index, after, member)
            yield with_told(following, told) if told is not None else following
        if proposer.phase == "read":
            yield from read_ends(world, index)
        if proposer.phase in ("fast", "owned") and proposer.heard:
            yield with_program(world, index, proposer.without_success(), None)
    for entry in world.late:
        member, kind, parts = entry
        held, _answer = deliver(world.replicas[MEMBERS.index(member)], thawed(kind, parts))
        yield replace(with_replica(world, member, held), late=world.late - {entry})
    if world.reads_left:
        yield from reads(world)


def read_ends(world: World, index: int) -> Iterator[World]:
    """The read ends with what it heard so far, if its answers tell a value."""
    reader = world.programs[index]
    answers = {member: Promise(*parts) for member, *parts in reader.heard}
    agreed = agreed_by_majority(OLD_SET, answers)
    if agreed is not None and agreed.value is not None:
        after = replace(reader, rounds=(), phase="done", waiting=(), heard=())
        yield with_told(with_program(world, index, after, None), agreed.value)


def reads(world: World) -> Iterator[World]:
    answers = {
        member: Promise(accepted, value)
        for member, (_promised, accepted, value) in zip(MEMBERS, world.replicas, strict=True)
    }
    for count in (2, 3):
        for order in itertools.permutations(MEMBERS, count):
            agreed = agreed_by_majority(OLD_SET, {member: answers[member] for member in order})
            if agreed is None:
                continue
            for earlier in world.told:
                assert agreed.value is not None, f"read nothing after {earlier!r}"
                assert continues(agreed.value, earlier), f"read {agreed.value!r}, told {earlier!r}"
            if agreed.value is not None and agreed.value not in world.told:
                yield replace(with_told(world, agreed.value), reads_left=world.reads_left - 1)


def explored(world: World) -> set[World]:
    """All worlds that may come of one; raises AssertionError where a caller was told wrongly."""
    seen = {world}
    to_do = [world]
    while to_do:
        for following in steps(to_do.pop()):
            if following not in seen:
                seen.add(following)
                to_do.append(following)
        assert len(seen) < MOST_WORLDS, "more worlds than the test's time allows"
    return seen


def world_of(*programs: Program, reads_left: int = 2) -> World:
    return World((UNTOUCHED,) * 3, programs, frozenset(), frozenset(), reads_left)


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
    worlds = explored(world_of(*(program(*each.split()) for each in programs)))
    assert any(world.told for world in worlds)


# --- one move by two movers


def old_worlds() -> list[tuple[tuple[Held, ...], frozenset[bytes]]]:
    """What replicas may hold, and what was told, when a move begins; each once."""
    old = program("q", "classic", epoch_round=9)
    worlds = explored(world_of(program("p", "classic"), old, reads_left=0))
    return sorted({(world.replicas, world.told) for world in worlds}, key=repr)


def installed(stores: dict[str, ReplicaStore], readers: tuple[str, ...], targets) -> None:
    """A mover seals and reads these members of the old set, then installs on these of the new."""
    seal = Seal(0, OLD_SET.epoch, NEW_SET, "")
    state = merge_states([run(stores[member].on_seal("mover", seal)) for member in readers])
    for member in targets:
        run(stores[member].on_install("mover", Install(NEW_SET, state)))


def promises_of(stores, members: tuple[str, ...], name: str) -> tuple[Ballot, list[Promise]]:
    """What these members promise a proposer that has made no try in the new epoch yet."""
    epoch_round = 1
    while True:
        ballot = make_ballot(NEW_SET, epoch_round, name)
        prepare = Prepare(0, 2, KEY, DATED, ballot)
        answers = [run(stores[member].on_prepare(name, prepare)) for member in members]
        rejected = [answer.promised for answer in answers if isinstance(answer, Rejected)]
        if not rejected:
            return ballot, answers
        epoch_round = max(epoch_round_of(NEW_SET, promised) for promised in rejected) + 1


def changed_in_new_epoch(stores, members: tuple[str, ...]) -> bytes:
    """A change by a proposer that reaches these members; what it is told."""
    ballot, promises = promises_of(stores, members, "young@1")
    value = added(highest_accepted_value(promises), "young")
    accept = Accept(0, 2, KEY, DATED, ballot, value)
    for member in members:
        assert isinstance(run(stores[member].on_accept("young@1", accept)), Accepted)
    return value


def read_by(stores, members: tuple[str, ...]) -> bytes | None:
    """What a round that hears these members continues with."""
    _ballot, promises = promises_of(stores, members, "reader@1")
    return highest_accepted_value(promises)


def move_orders() -> Iterator[tuple]:
    """Who is read by each mover, where the first one installs, whom the last reader hears."""
    pairs = list(itertools.combinations(MEMBERS, 2))
    new_pairs = list(itertools.combinations(NEW_SET.members, 2))
    return itertools.product(pairs, pairs, new_pairs, new_pairs)


def test_two_movers_lose_nothing_that_was_told():
    played = 0
    for (held, told), order in itertools.product(old_worlds(), move_orders()):
        first_readers, second_readers, reached, heard = order
        stores = {m: store_of(m, h) for m, h in zip(MEMBERS, held, strict=True)}
        stores |= {m: ReplicaStore(m, lambda _set: None) for m in ("d@1", "e@1")}
        installed(stores, first_readers, reached)
        value = changed_in_new_epoch(stores, reached)
        for earlier in told:
            assert continues(value, earlier), f"{order}: {value!r} after {earlier!r}"
        lagging = [member for member in NEW_SET.members if member not in reached]
        installed(stores, second_readers, lagging)
        assert read_by(stores, heard) == value, f"{order}: {held}"
        played += 1
    assert played > 1000
