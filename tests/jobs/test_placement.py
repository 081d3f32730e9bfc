import asyncio
import time

import msgspec
import pytest

from crankseam.coordination.ranking import rank_processes
from crankseam.errors import KeyValueOutcomeUnknown, KeyValueUnavailable
from crankseam.jobs.errors import AcceptanceUnknown
from crankseam.jobs.placement import (
    JobPlacement,
    Submission,
)
from tests.jobs.factories import make_job, make_route

NAMES = [f"p{number}" for number in range(9)]


class Jobs:
    """The jobs of one process: records submitted ids, or raises `failure` if it is set."""

    def __init__(self, failure=None, room=True):
        self.taken = []
        self.failure = failure
        self.room = room

    def has_room(self, items):
        return self.room

    async def submit(self, job, deadline):
        if self.failure is not None:
            raise self.failure
        self.taken.append(job.id)


class Network:
    """Placements of several processes that forward jobs to each other.

    Those in `silent` do not answer; those in `behind` lack processor time.
    """

    def __init__(self, names=NAMES):
        self.capacities = dict.fromkeys(names, 60.0)
        self.jobs = {name: Jobs() for name in names}
        self.silent = set()
        self.behind = set()
        self.asked = []
        self.placements = {
            name: JobPlacement(
                self.jobs[name],
                name,
                lambda: self.capacities,
                self.ask,
                lambda job: make_route(),
                lambda name=name: name in self.behind,
            )
            for name in names
        }

    async def ask(self, process, body, longest_s):
        self.asked.append(process)
        if process in self.silent:
            await asyncio.sleep(0)
            raise KeyValueOutcomeUnknown("no answer")
        if process not in self.capacities:
            raise KeyValueUnavailable("no such process")
        return await self.placements[process].serve(body)


def soon():
    return time.monotonic() + 5.0


def preferred(job):
    return rank_processes(job.model, NAMES)[0]


def least_preferred(job):
    return rank_processes(job.model, NAMES)[-1]


async def test_jobs_of_one_model_go_to_one_process_whoever_is_asked():
    network = Network()
    for number, name in enumerate(NAMES):
        await network.placements[name].submit(make_job(f"j{number}"), soon())
    taken = {name: jobs.taken for name, jobs in network.jobs.items() if jobs.taken}
    assert taken == {preferred(make_job()): [f"j{number}" for number in range(len(NAMES))]}


async def test_the_suitable_process_itself_asks_nobody():
    network = Network()
    job = make_job()
    await network.placements[preferred(job)].submit(job, soon())
    assert not network.asked and network.jobs[preferred(job)].taken == ["j1"]


async def test_a_silent_process_is_replaced_by_the_asker_and_not_asked_again_for_a_while():
    network = Network()
    job = make_job()
    network.silent.add(preferred(job))
    asker = network.placements[least_preferred(job)]
    await asker.submit(job, soon())
    assert network.jobs[least_preferred(job)].taken == ["j1"]
    await asker.submit(make_job("j2"), soon())
    assert network.asked.count(preferred(job)) == 1


async def test_a_process_without_room_does_not_take_a_job():
    network = Network()
    job = make_job()
    network.jobs[preferred(job)].room = False
    await network.placements[least_preferred(job)].submit(job, soon())
    assert network.jobs[least_preferred(job)].taken == ["j1"]
    assert not network.jobs[preferred(job)].taken


async def test_a_process_whose_processor_does_not_suffice_does_not_take_a_job():
    network = Network()
    job = make_job()
    network.behind.add(preferred(job))
    await network.placements[least_preferred(job)].submit(job, soon())
    assert network.jobs[least_preferred(job)].taken == ["j1"]


@pytest.mark.parametrize("failure", [KeyValueOutcomeUnknown("lost"), AcceptanceUnknown("j1")])
async def test_nothing_is_promised_when_the_chosen_process_may_have_taken_the_job(failure):
    network = Network()
    job = make_job()
    network.jobs[preferred(job)].failure = failure
    network.jobs[least_preferred(job)].failure = KeyValueUnavailable("down")
    with pytest.raises(AcceptanceUnknown):
        await network.placements[least_preferred(job)].submit(job, soon())


async def test_a_refusal_is_promised_when_neither_process_can_have_taken_the_job():
    network = Network()
    job = make_job()
    for jobs in network.jobs.values():
        jobs.failure = KeyValueUnavailable("down")
    with pytest.raises(KeyValueUnavailable):
        await network.placements[least_preferred(job)].submit(job, soon())


async def test_an_answer_that_can_not_be_read_promises_nothing():
    job = make_job()
    jobs = Jobs(KeyValueUnavailable("down"))

    async def ask(process, body, longest_s):
        assert msgspec.msgpack.decode(body, type=Submission).job == job
        return b"\xc1"

    rest = (lambda job: make_route(), lambda: False)
    asker = JobPlacement(jobs, "a", lambda: dict.fromkeys("abc", 1.0), ask, *rest)
    if rank_processes(job.model, ["a", "b", "c"])[0] == "a":
        asker = JobPlacement(jobs, "z", lambda: dict.fromkeys("abc", 1.0), ask, *rest)
    with pytest.raises(AcceptanceUnknown):
        await asker.submit(job, soon())


def test_when_a_process_leaves_only_its_own_subjects_move():
    subjects = [f"model-{number}" for number in range(200)]
    before = {subject: rank_processes(subject, NAMES)[0] for subject in subjects}
    after = {subject: rank_processes(subject, NAMES[1:])[0] for subject in subjects}
    assert all(after[one] == before[one] for one in subjects if before[one] != NAMES[0])
    assert len(set(before.values())) == len(NAMES)


async def test_a_process_on_a_large_machine_runs_the_job_wherever_it_was_submitted():
    network = Network()
    large = least_preferred(make_job())
    network.capacities[large] = 200.0
    for number, name in enumerate(NAMES):
        await network.placements[name].submit(make_job(f"j{number}"), soon())
    taken = {name: jobs.taken for name, jobs in network.jobs.items() if jobs.taken}
    assert taken == {large: [f"j{number}" for number in range(len(NAMES))]}


async def test_where_the_large_machine_is_behind_another_takes_the_job():
    network = Network()
    large = least_preferred(make_job())
    network.capacities[large] = 200.0
    network.behind = {large}
    await network.placements[NAMES[0]].submit(make_job("j1"), soon())
    await network.placements[NAMES[0]].submit(make_job("j2"), soon())
    assert not network.jobs[large].taken
    assert sum(len(jobs.taken) for jobs in network.jobs.values()) == 2
