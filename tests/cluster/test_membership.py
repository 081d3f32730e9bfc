"""Membership over loopback: discovery, deaths, restarts, stalls and outages."""

import time

import pytest

from crankseam.cluster.digest import MemberStatus
from crankseam.cluster.stall_guard import StallGuard
from crankseam.errors import RecordExpired
from crankseam.peers.messages import Member
from tests.support.harness import Platform, SmallAgent, eventually, settings_for

SUSPENDED_S = 3600.0
"""Time for which a machine was suspended; longer than any test waits."""


@pytest.fixture
async def platform():
    running = Platform()
    await running.start(apps=1)
    await running.apply(running.documents())
    yield running
    await running.stop()


@pytest.fixture
async def agents(platform):
    running: list[SmallAgent] = []
    yield running
    for agent in running:
        await agent.close()


async def start_agents(platform, agents, count, seeds_of=lambda addresses, index: addresses[:2]):
    addresses: list[str] = []
    for index in range(count):
        seeds = seeds_of(addresses, index)
        agent = SmallAgent(settings_for(index, platform, list(seeds)))
        addresses.append(await agent.start())
        agents.append(agent)
    await eventually(
        lambda: all(len(a.agent.digest.alive()) == count for a in agents),
        "every agent sees all members alive",
    )
    await eventually(lambda: all(a.agent.lease.is_held() for a in agents), "all ready")


async def test_all_find_each_other_and_the_configuration(platform, agents):
    await start_agents(platform, agents, 9)
    assert {a.agent.lease.snapshot.revision for a in agents} == {1}


async def test_groups_that_started_apart_find_each_other(platform, agents):
    """Guards against groups of nodes that stay separate: of 12 nodes that were started at once, a
    group of 7 and a group of 5 never found each other.

    Here each group has members in several zones, and only one node has seeds in both groups.
    """

    def seeds_of(addresses, index):
        if index < 4:
            return addresses[:1]
        return addresses[4:5] if index < 7 else [addresses[4], addresses[0]]

    await start_agents(platform, agents, 8, seeds_of)


async def test_a_death_is_known_to_all_and_its_replicas_are_replaced(platform, agents):
    await start_agents(platform, agents, 6)
    victim = agents.pop(1)
    identity = victim.agent.identity
    await victim.close()
    name = victim.agent.settings.name

    def known_dead():
        statuses = [a.agent.digest.member(name).status for a in agents]
        return all(status == MemberStatus.DEAD for status in statuses)

    await eventually(known_dead, "all know the death")

    def replaced():
        sets = agents[0].agent.digest.slots.all()
        return not any(identity in replica_set.members for replica_set in sets)

    await eventually(replaced, "no replica set contains the dead node")
    assert not any(
        m.status == MemberStatus.DEAD for m in agents[0].agent.digest.members() if m.name != name
    )


async def test_a_node_started_during_an_outage_takes_the_newest_revision_from_peers(
    platform, agents
):
    await start_agents(platform, agents, 3)
    await platform.apply(platform.documents(max_in_flight=7))
    await eventually(lambda: all(a.agent.lease.snapshot.revision == 2 for a in agents))
    platform.key_value.faults.down_until = float("inf")
    await agents.pop(0).close()
    late = SmallAgent(settings_for(0, platform, [a.agent.own.peer_address for a in agents]))
    await late.start()
    agents.append(late)
    await eventually(late.agent.lease.is_held, "ready without the key-value service")
    assert late.agent.lease.snapshot.revision == 2


async def test_a_node_that_hears_of_its_own_death_refutes_it(platform, agents):
    await start_agents(platform, agents, 3)
    target = agents[0].agent
    dead = Member(
        **{
            field: getattr(target.own, field)
            for field in target.own.__struct_fields__
            if field != "status"
        },
        status=int(MemberStatus.DEAD),
    )
    agents[1].agent.digest.merge_member(dead)
    agents[2].agent.digest.merge_member(dead)
    target.digest.merge_member(dead)

    def alive_again():
        found = [a.agent.digest.member(target.settings.name) for a in agents]
        return all(member.status == MemberStatus.ALIVE for member in found)

    await eventually(alive_again, "the death is refuted everywhere")


def test_a_stall_ends_only_with_an_answer_to_what_was_asked_after_it():
    now = [0.0]
    guard = StallGuard(max_tick_gap=0.5, clock=lambda: now[0])
    assert guard.is_fresh()
    asked_before = now[0]
    now[0] = 3.0  # the process was stopped
    assert not guard.is_fresh()
    guard.tick()
    guard.record_response(asked_before)
    assert not guard.is_fresh()
    now[0] = 3.1
    guard.record_response(now[0])
    assert guard.is_fresh()


async def test_a_view_becomes_fresh_again_after_the_machine_was_suspended(
    platform, agents, monkeypatch
):
    """Guards against a view that stays stale for as long as the machine was suspended.

    The stall is detected by the clock that counts the suspended time. If the time of a heartbeat is
    taken from the clock that does not, every later answer seems to be older than the stall.
    """
    await start_agents(platform, agents, 2)
    guard = agents[0].agent.stall_guard
    clock_gettime = time.clock_gettime
    monkeypatch.setattr(time, "clock_gettime", lambda clock: clock_gettime(clock) + SUSPENDED_S)
    assert not guard.is_fresh()
    await eventually(guard.is_fresh, "the view is fresh again")


async def test_a_death_in_a_zone_of_four_is_known_to_all(platform, agents):
    addresses: list[str] = []
    for index in range(8):
        settings = settings_for(index, platform, addresses[:2])
        settings = settings.model_copy(update={"zone": f"zone-{index // 4}"})
        agent = SmallAgent(settings)
        addresses.append(await agent.start())
        agents.append(agent)
    await eventually(lambda: all(len(a.agent.digest.alive()) == 8 for a in agents))
    zone = [a for a in agents if a.agent.settings.zone == "zone-0"]
    relays = {member.name for member in agents[0].agent.membership.order.relays("zone-0")}
    victim = next(a for a in zone if a.agent.settings.name not in relays)
    agents.remove(victim)
    await victim.close()
    name = victim.agent.settings.name
    await eventually(
        lambda: all(a.agent.digest.member(name).status == MemberStatus.DEAD for a in agents),
        "all know the death",
    )


async def test_a_slot_whose_majority_restarted_is_founded_anew_and_refuses_old_ids(
    platform, agents
):
    await start_agents(platform, agents, 3)
    old_sets = agents[2].agent.digest.slots.all()
    survivor = agents[2]
    key = survivor.agent.locate("record", dated=1000)
    await survivor.agent.proposer.change(key, lambda _value: b"one")
    addresses = [survivor.agent.own.peer_address]
    for index in (0, 1):
        await agents[index].close()
    for index in (0, 1):
        agents[index] = SmallAgent(settings_for(index, platform, addresses))
        await agents[index].start()

    def founded_anew():
        sets = survivor.agent.digest.slots.all()
        return all(s.epoch >= 1000 and s.floor > 0 for s in sets) and len(sets) == len(old_sets)

    await eventually(founded_anew, "all slots founded anew")
    with pytest.raises(RecordExpired):
        await survivor.agent.proposer.change(key, lambda _value: b"two")
    await eventually(lambda: all(a.agent.lease.is_held() for a in agents), "all ready again")


async def test_news_of_a_death_travels_without_heartbeats(platform, agents):
    """Guards against a slow spread of deaths through the digest tree: at 420 nodes a death took 2 s
    longer to spread than to detect, since each level of a zone's tree had to fetch it from its
    parent."""
    await start_agents(platform, agents, 8)

    async def nothing(*_args):
        return None

    for agent in agents:
        agent.agent.membership._send_heartbeats = nothing
        agent.agent.membership._relay.exchange = nothing
    relay = next(a.agent for a in agents if a.agent.membership.order.is_first_relay())
    victim = next(
        a.agent
        for a in agents
        if a.agent.settings.zone == relay.settings.zone and a.agent is not relay
    )
    victim._refute_death = lambda _change: None
    victim.digest._listeners.clear()
    relay.membership._relay._declare_dead(relay.digest.member(victim.settings.name))
    await eventually(
        lambda: all(
            a.agent.digest.member(victim.settings.name).status == MemberStatus.DEAD
            for a in agents
            if a.agent is not victim
        ),
        "all know of the death",
    )
