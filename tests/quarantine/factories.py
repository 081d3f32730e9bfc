"""Builders and fakes for the quarantine tests."""

import asyncio

from crankseam.coordination.follower import PrefixFollower
from crankseam.quarantine.crash_guard import CrashGuard
from crankseam.quarantine.model import RequestIdentity
from crankseam.quarantine.parts import make_quarantine
from crankseam.quarantine.request_tracker import RequestTracker
from crankseam.serving.ended_back_ends import EndedBackEnds
from crankseam.serving.supervisor import Supervisor
from crankseam_standins.memory_store import MemoryStore
from tests.support.waiting import eventually

STATE_PREFIX = "state/"
WATCH_WAIT_S = 0.2


class FakeAddressProbe:
    """Address probe at which back ends whose ids are in `ended` refuse connections."""

    def __init__(self):
        self.ended = set()

    async def refuses_connections(self, back_end):
        await asyncio.sleep(0)
        return back_end.record.id in self.ended


async def discard_broadcast(raw):
    """Broadcast function of a process without peers."""


def make_guard(registry, addresses=None, store=None):
    """Builds a guard with a quarantine of its own, of which no background task is started."""
    parts = make_quarantine(store or MemoryStore(), STATE_PREFIX, discard_broadcast, Supervisor())
    return CrashGuard(parts.quarantine, EndedBackEnds(registry, addresses or FakeAddressProbe()))


def make_identity(body=b"body", request_id="r1", tenant="t"):
    return RequestIdentity(request_id, tenant, "route", "POST", "host", "/p", body)


class Process:
    """One process's quarantine, on a store that may be shared with other processes."""

    def __init__(self, store, others=()):
        self.supervisor = Supervisor()
        self.state = PrefixFollower(store, STATE_PREFIX, lambda key, entry: None, WATCH_WAIT_S)
        self.peers = list(others)
        self.broadcast_count = 0
        parts = make_quarantine(store, STATE_PREFIX, self._broadcast, self.supervisor)
        self.table, self.publisher, self.quarantine = parts.table, parts.publisher, parts.quarantine
        parts.follow(self.state)
        parts.start(self.supervisor)
        self.supervisor.keep(self.state.run, "follow")

    async def _broadcast(self, raw):
        self.broadcast_count += 1
        for peer in self.peers:
            await peer.publisher.handle_message(raw)

    def tracker(self, identity=None, crash_limit=2):
        return RequestTracker(self.quarantine, identity or make_identity(), crash_limit)

    def knows(self, identity=None, crashes=1):
        found = self.table.find((identity or make_identity()).fingerprint)
        return found is not None and len(found.record.ended) >= crashes

    async def ready(self):
        await self.state.wait_synchronized()
        return self

    async def stop(self):
        await self.supervisor.stop()


async def wait_known_everywhere(processes, identity=None, crashes=1):
    await eventually(
        lambda: all(process.knows(identity, crashes) for process in processes), "known"
    )


def send(tracker, ended="", answered=False, not_run=False):
    """Sends the tracked request once, with the given outcome."""
    with tracker.sending() as sent:
        sent.crashed_id, sent.was_answered, sent.was_not_run = ended, answered, not_run
