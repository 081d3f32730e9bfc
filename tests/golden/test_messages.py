"""Encoded bytes of the messages between processes and of the stored values."""

import typing

import msgspec
import pytest

from crankseam.clients.machine_list import MachineList
from crankseam.clients.sampler import SamplerState, TokenChunk
from crankseam.clients.weight_store import WeightIndex
from crankseam.config.snapshot import Pointer, StoredSnapshot
from crankseam.controllers.founding import FoundingRecord
from crankseam.controllers.limit_shares import ShareTable
from crankseam.coordination.feed_messages import FeedAnswer, FeedQuestion
from crankseam.coordination.relay import RelayAnswer, RelayCall
from crankseam.decisions import Decision
from crankseam.jobs.demand import OpenJob
from crankseam.jobs.model import ItemResult, JobDefinition, PartialText
from crankseam.jobs.peer_reads import ItemQuestion, OwnerAnswer, ResultsQuestion
from crankseam.jobs.placement import Submission, SubmissionAnswer
from crankseam.jobs.repository import JobHead
from crankseam.peers.messages import (
    AnyMessage,
    BackEndReport,
    Frame,
    Member,
    ReplicaSet,
    StoredRecord,
    decode_frame,
    encode_frame,
)
from crankseam.quarantine.model import SuspectNews, SuspectRecord
from crankseam.requests.request_record import RequestRecord
from crankseam.rollout.messages import (
    Acknowledge,
    OpenStep,
    SampleRecord,
    SampleRequest,
    SampleResult,
    StepRecord,
)
from crankseam.serving.settings import ProcessSettings
from crankseam.usage.ledger import UsageLedger
from crankseam.usage.messages import UsageCounts, UsageReceipt
from tests.golden.compare import check_golden
from tests.golden.samples import struct_sample

MESSAGES = {
    "weights.index": WeightIndex,
    "machines.list": MachineList,
    "sampler.state": SamplerState,
    "sampler.chunk": TokenChunk,
    "configuration.pointer": Pointer,
    "configuration.snapshot": StoredSnapshot,
    "fleet.founding": FoundingRecord,
    "limits.shares": ShareTable,
    "feed.question": FeedQuestion,
    "feed.answer": FeedAnswer,
    "relay.call": RelayCall,
    "relay.answer": RelayAnswer,
    "decision": Decision,
    "job.open": OpenJob,
    "job.definition": JobDefinition,
    "job.result": ItemResult,
    "job.partial": PartialText,
    "job.head": JobHead,
    "job.submission": Submission,
    "job.submission-answer": SubmissionAnswer,
    "job.results-question": ResultsQuestion,
    "job.item-question": ItemQuestion,
    "job.owner-answer": OwnerAnswer,
    "peer.member": Member,
    "peer.replica-set": ReplicaSet,
    "peer.stored-record": StoredRecord,
    "peer.back-end-report": BackEndReport,
    "quarantine.record": SuspectRecord,
    "quarantine.news": SuspectNews,
    "request.record": RequestRecord,
    "step.open": OpenStep,
    "step.acknowledge": Acknowledge,
    "step.request": SampleRequest,
    "step.result": SampleResult,
    "step.sample-record": SampleRecord,
    "step.record": StepRecord,
    "settings": ProcessSettings,
    "usage.ledger": UsageLedger,
    "usage.counts": UsageCounts,
    "usage.receipt": UsageReceipt,
}
FRAMES = typing.get_args(AnyMessage)


def test_bytes_of_messages_and_stored_values():
    encodings = {}
    for name, kind in MESSAGES.items():
        value = struct_sample(kind)
        try:
            json_text = msgspec.json.encode(value).decode()
        except msgspec.ValidationError:
            json_text = ""
        encodings[name] = {"msgpack": msgspec.msgpack.encode(value).hex(), "json": json_text}
    check_golden("messages.json", encodings)


@pytest.mark.parametrize("name", MESSAGES)
def test_stored_bytes_are_read_as_the_same_message(name):
    value = struct_sample(MESSAGES[name])
    encoded = msgspec.msgpack.encode(value)
    assert msgspec.msgpack.decode(encoded, type=MESSAGES[name]) == value


def test_bytes_of_each_frame_between_nodes():
    encodings = {}
    for kind in FRAMES:
        frame = Frame(7, False, struct_sample(kind))
        encoded = encode_frame(frame)
        assert decode_frame(encoded[4:]) == frame
        encodings[kind.__struct_config__.tag] = encoded.hex()
    check_golden("frames.json", encodings)
