"""One revision of the configuration, in memory on the nodes and as stored parts.

This module defines the stored form of the pointer and of the parts; the documents in the parts are
models from `kinds`. A snapshot is not changed after it has been built.
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
    """The value of the pointer key, which lists the parts of one revision.

    Attributes:
        revision: number of the accepted change, counted from 1.
        apply_id: unique id set by the `apply` command; it identifies the accepted change after a
            lost response.
        parts: `Kind/name` to the SHA-256 of the document's stored bytes.
        changes: readable lines that describe the differences from the previous revision.
    """

    revision: int
    apply_id: str
    parts: dict[str, str]
    operator: str = ""
    applied_at: str = ""
    changes: list[str] = []


class StoredSnapshot(msgspec.Struct):
    """A pointer with the bytes of all its parts, in the form that nodes send to each other."""

    pointer: Pointer
    documents: list[bytes]


def encode_document(document: Document) -> bytes:
    """Encode a document as canonical bytes: equal documents give equal bytes."""
    content = document.model_dump(mode="json")
    return msgspec.json.encode(content, order="deterministic")


def decode_document(stored: bytes) -> Document:
    """Decode and validate a document from its stored bytes."""
    content = msgspec.json.decode(stored)
    return KINDS[content["kind"]].model_validate(content)


def content_address(stored: bytes) -> str:
    """Return the address of a part, which is the SHA-256 of its bytes in hexadecimal."""
    return hashlib.sha256(stored).hexdigest()


@dataclass(frozen=True)
class Snapshot:
    """One revision of the configuration, indexed by kind and name.

    A request uses the same snapshot from start to end.
    """

    revision: int
    services: dict[str, Service] = field(default_factory=dict)
    pools: dict[str, SamplerPool] = field(default_factory=dict)
    weight_policies: dict[str, WeightPolicy] = field(default_factory=dict)
    limits: dict[str, Limit] = field(default_factory=dict)
    trainers: dict[str, Trainer] = field(default_factory=dict)

    def limit_for(self, target: str) -> Limit | None:
        """Return the limit of a service or pool, or None if it has no limit."""
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
    """Return the stored bytes of each document under its key `Kind/name`."""
    return {document_key(document): encode_document(document) for document in documents}
