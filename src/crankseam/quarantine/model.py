"""Records of requests under which back ends crashed, as they are stored and sent to peers.

Defines the records in the store and in messages between processes; their field names are on the
wire. `holding` decides when such a request is held.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from functools import cached_property

import msgspec

from crankseam.quarantine import holding
from crankseam.quarantine.fingerprint import fingerprint_of


@dataclass(frozen=True)
class RequestIdentity:
    """The properties that identify a request, an item or a scoring request.

    Attributes
    ==========

    id : id of this attempt; used in log events only.
    target : path and query exactly as received.
    """

    id: str
    tenant: str
    route: str
    method: str
    host: str
    target: str
    body: bytes = field(repr=False)

    @cached_property
    def fingerprint(self) -> str:
        """Computed on first access, because the digest of a long body takes milliseconds."""
        return fingerprint_of(self.tenant, self.method, self.host, self.target, self.body)


class SuspectRecord(msgspec.Struct, frozen=True):
    """The back ends that crashed under one request, and the number of probes since.

    Attributes
    ==========

    ended : ids of the back ends that crashed, each once.
    probes : number of probes, that is, of sends since the request was first held.
    body_bytes : length of the request's body; requests with bodies of another length are known to
        differ without a digest.
    """

    ended: list[str]
    probes: int = 0
    route: str = ""
    tenant: str = ""
    body_bytes: int = 0

    def with_crashes(self, ended: list[str]) -> SuspectRecord:
        """Returns a copy that also lists the back ends in `ended`."""
        more = [back_end_id for back_end_id in ended if back_end_id not in self.ended]
        return msgspec.structs.replace(self, ended=[*self.ended, *more])

    def with_probes(self, probes: int) -> SuspectRecord:
        """Returns a copy with another number of probes."""
        return msgspec.structs.replace(self, probes=probes)

    def is_held(self, crash_limit: int) -> bool:
        """Whether the number of crashed back ends has reached the limit."""
        return holding.is_held(len(self.ended), crash_limit)

    def hold_duration_s(self) -> float:
        """Returns for how many seconds after its last change the request is held."""
        return holding.hold_duration_s(self.probes)


def crash_id(back_end: str) -> str:
    """Returns an id for one crash of a back end that restarts under the same name."""
    return f"{back_end}@{time.time():.3f}"


def initial_record(identity: RequestIdentity, ended: list[str]) -> SuspectRecord:
    """Returns the first record of a request under which the back ends in `ended` crashed."""
    return SuspectRecord(
        list(dict.fromkeys(ended)), 0, identity.route, identity.tenant, len(identity.body)
    )


class SuspectNews(msgspec.Struct, frozen=True):
    """Changes of suspects that one process sends to its peers.

    Attributes
    ==========

    records : new or changed records by fingerprint.
    revisions : by fingerprint, the store's revision of each record that is stored; a record without
        one is not stored yet.
    released : fingerprints of requests that are no longer suspects.
    """

    records: dict[str, SuspectRecord] = {}
    revisions: dict[str, int] = {}
    released: list[str] = []
