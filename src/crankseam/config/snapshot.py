"""A configuration at one revision, as nodes hold it and as it is stored in parts.

Owns the stored bytes of the pointer and the parts. Relies on `kinds` for the documents. Snapshots
are not changed once built.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

import msgspec

from crankseam.config.kinds import (
    KINDS,
    Document,
    Limit,
    SamplerPool,
    Service,
    Trainer,
    WeightPolicy,
    document_key,
)


class Pointer(msgspec.Struct):
    """What the pointer key holds: the parts that make up one revision.

    Attributes:
        revision: counts accepted changes from 1.
        apply_id: chosen by the operator's command; settles a lost answer.
        parts: `Kind/name` to the SHA-256 of the document's stored bytes.
        changes: readable lines of what changed against the revision before.
    """

    revision: int
    apply_id: str
    parts: dict[str, str]
    operator: str = ""
    applied_at: str = ""
    changes: list[str] = []


class StoredSnapshot(msgspec.Struct):
    """A pointer with the bytes of all its parts, as nodes pass it to each other."""

    pointer: Pointer
    documents: list[bytes]


def encode_document(document: Document) -> bytes:
    """Canonical bytes of a document: the same document gives the same bytes."""
    content = document.model_dump(mode="json")
    return msgspec.json.encode(content, order="deterministic")


def decode_document(stored: bytes) -> Document:
    """The document behind stored bytes."""
    content = msgspec.json.decode(stored)
    return KINDS[content["kind"]].model_validate(content)


def content_address(stored: bytes) -> str:
    """Address of a part: the SHA-256 of its bytes."""
    return hashlib.sha256(stored).hexdigest()


@dataclass(frozen=True)
class Snapshot:
    """One revision, indexed for lookups. A request keeps one from start to end."""

    revision: int
    services: dict[str, Service] = field(default_factory=dict)
    pools: dict[str, SamplerPool] = field(default_factory=dict)
    weight_policies: dict[str, WeightPolicy] = field(default_factory=dict)
    limits: dict[str, Limit] = field(default_factory=dict)
    trainers: dict[str, Trainer] = field(default_factory=dict)

    def limit_for(self, target: str) -> Limit | None:
        """The limit that bounds a service or pool, if any."""
        return next((item for item in self.limits.values() if item.target == target), None)


EMPTY_SNAPSHOT = Snapshot(revision=0)


def build_snapshot(stored: StoredSnapshot) -> Snapshot:
    """Index a stored snapshot's documents by kind and name."""
    snapshot = Snapshot(revision=stored.pointer.revision)
    tables: dict[type, dict] = {
        Service: snapshot.services,
        SamplerPool: snapshot.pools,
        WeightPolicy: snapshot.weight_policies,
        Limit: snapshot.limits,
        Trainer: snapshot.trainers,
    }
    for part in stored.documents:
        document = decode_document(part)
        tables[type(document)][document.name] = document
    return snapshot


def encode_parts(documents: list[Document]) -> dict[str, bytes]:
    """`Kind/name` to stored bytes."""
    return {document_key(document): encode_document(document) for document in documents}
