"""Parts of a quarantine for tests."""

import asyncio

from crankseam.quarantine.crash_guard import CrashGuard
from crankseam.quarantine.parts import make_quarantine
from crankseam.serving.ended_back_ends import EndedBackEnds
from crankseam.serving.supervisor import Supervisor
from crankseam_standins.memory_store import MemoryStore

STATE = "state/"


class ScriptedAddresses:
    """Back ends whose ids are in `ended` refuse connections."""

    def __init__(self):
        self.ended = set()

    async def refuses_connections(self, back_end):
        await asyncio.sleep(0)
        return back_end.record.id in self.ended


async def tell_nobody(raw):
    """For a process without peers."""


def make_guard(registry, addresses=None, store=None):
    """A guard whose quarantine nobody else shares; nothing of it runs in the background."""
    parts = make_quarantine(store or MemoryStore(), STATE, tell_nobody, Supervisor())
    return CrashGuard(parts.quarantine, EndedBackEnds(registry, addresses or ScriptedAddresses()))
