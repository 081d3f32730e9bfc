"""Two runners list results of one job while the store loses or delays answers.

Guards against a listed result that changes its position, or an item that is listed twice.
"""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crankseam.errors import KeyValueError
from crankseam.jobs.errors import ResultsConflict
from crankseam.jobs.model import ItemResult
from crankseam.jobs.repository import JobRepository
from crankseam_standins.memory_store import MemoryStore

ITEMS = [f"i{number}" for number in range(6)]
RUNNERS = st.sampled_from(["a", "b"])


class Listing(RuleBasedStateMachine):
    """Each runner lists as JobRunner does: chunk by chunk, with all earlier chunks known."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.store = self.loop.run_until_complete(self._make_store())
        self.repositories = {name: JobRepository(self.store, name) for name in "ab"}
        self.known = {name: [] for name in "ab"}
        self.seen = []

    async def _make_store(self):
        return MemoryStore()

    def teardown(self):
        self.loop.close()

    def listed_by(self, name):
        return {result.id for chunk in self.known[name] for result in chunk}

    @rule(name=RUNNERS, item=st.sampled_from(ITEMS), fault=st.sampled_from(["", "lose", "late"]))
    def list_result(self, name, item, fault):
        if item in self.listed_by(name):
            return
        self.store.faults.lose_answers = int(fault == "lose")
        self.store.faults.late = int(fault == "late")
        chunk = [ItemResult(item, True, f"by {name}")]
        number = len(self.known[name])
        try:
            self.loop.run_until_complete(self.repositories[name].append("j", number, chunk))
            self.known[name].append(chunk)
        except ResultsConflict as conflict:
            self.known[name].append(conflict.winner)
        except KeyValueError:
            pass
        self.store.faults.lose_answers = self.store.faults.late = 0

    @rule()
    def late_writes_arrive(self):
        self.store.release_late()

    @rule(name=RUNNERS)
    def starts_again(self, name):
        chunks, _ = self.loop.run_until_complete(self.repositories[name].read_chunks("j", 0))
        self.known[name] = chunks

    @invariant()
    def positions_never_change_and_no_item_stands_twice(self):
        chunks, _ = self.loop.run_until_complete(self.repositories["a"].read_chunks("j", 0))
        results = [result for chunk in chunks for result in chunk]
        assert results[: len(self.seen)] == self.seen
        ids = [result.id for result in results]
        assert len(ids) == len(set(ids))
        self.seen = results


TestListing = Listing.TestCase
TestListing.settings = settings(max_examples=60, stateful_step_count=25)
