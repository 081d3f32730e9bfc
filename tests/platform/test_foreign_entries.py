"""Entries of another writer below `servers/` name no back end to use, and stop nobody's work.

Guards against a back end whose fields were taken without a check of their types: a table as its
zone raised TypeError in each choice, so that no item of its service was placed and each request was
answered 500, at every front, for as long as the entry lay there.
"""

import logging

import msgspec
import pytest
from crankseam_platform.configuration import (
    decode_announced_version,
    decode_back_end,
    decode_configuration,
)
from crankseam_platform.control import HttpSamplerControl
from crankseam_platform.store_entries import MalformedEntry

from crankseam.orders.messages import OrderUnanswered
from tests.platform.deployment import ROUTES, Deployment, configuration, route
from tests.support.waiting import eventually

VALID = {
    "service": "svc",
    "address": "127.0.0.1:9",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
}
WRONG_FIELDS = [
    ("service", 7),
    ("service", ["svc"]),
    ("service", ""),
    ("address", 7),
    ("address", "127.0.0.1"),
    ("address", "host.example:80"),
    ("address", "127.0.0.1:0"),
    ("address", "127.0.0.1:70000"),
    ("zone", {"name": "z"}),
    ("zone", ["z"]),
    ("zone", None),
    ("version", 1),
    ("slots", "8"),
    ("slots", -1),
    ("slots", 0),
    ("slots", True),
    ("slots", 1e300),
    ("slots", 10**30),
    ("state", "resting"),
    ("state", None),
    ("cold_left_ms", "0"),
    ("cold_left_ms", -1),
    ("seq", "1"),
    ("seq", -1),
    ("models", {"m": 1}),
    ("models", [{"name": ["m"], "version": 1}]),
    ("models", [{"name": "m", "version": "1"}]),
    ("spot", 1),
    ("born", "1786395804876"),
    ("born", 1.5),
    ("stage", []),
]
UNREADABLE = {
    "no_json": b"\xff\xfe",
    "list": b"[]",
    "unreadable_unknown_field": msgspec.json.encode(VALID)[:-1] + b',"note":"\xff"}',
    "nested_unknown_field": msgspec.json.encode(VALID)[:-1]
    + b',"note":'
    + b"[" * 100_000
    + b"]" * 100_000
    + b"}",
    "nested": b"[" * 100_000,
    "empty": b"",
}


def foreign(**fields):
    return msgspec.json.encode(VALID | fields)


def test_an_entry_with_all_fields_and_unknown_ones_is_a_back_end():
    record = decode_back_end("servers/i-1", foreign(born=1786395804876, note={"x": [1]}))
    assert (record.id, record.service, record.address, record.slots) == (
        "i-1",
        "svc",
        "127.0.0.1:9",
        8,
    )
    assert not record.leaving
    assert decode_back_end("servers/i-1", foreign(state="draining")).leaving


@pytest.mark.parametrize(("name", "value"), WRONG_FIELDS, ids=lambda value: str(value)[:20])
def test_an_entry_with_a_field_of_another_type_or_value_names_no_back_end(name, value):
    with pytest.raises(MalformedEntry, match=name):
        decode_back_end("servers/i-1", foreign(**{name: value}))


@pytest.mark.parametrize("name", VALID)
def test_an_entry_without_a_field_names_no_back_end(name):
    entry = {key: value for key, value in VALID.items() if key != name}
    with pytest.raises(MalformedEntry, match=name):
        decode_back_end("servers/i-1", msgspec.json.encode(entry))


@pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE)
def test_bytes_that_cannot_be_read_name_no_back_end(value):
    with pytest.raises(MalformedEntry):
        decode_back_end("servers/i-1", value)


@pytest.mark.parametrize("key", ["servers/", "servers/a b", "servers/a\nb", "servers/é"])
def test_an_id_that_fits_no_header_names_no_back_end(key):
    with pytest.raises(MalformedEntry):
        decode_back_end(key, foreign())


async def test_a_foreign_entry_stops_neither_items_nor_requests_of_its_service():
    """With a table as zone, 18 of 24 items never ran and each request got 500."""
    async with Deployment(samplers=2) as deployment:
        await deployment.configure()
        front = await deployment.start_front()
        await eventually(lambda: front.registry.count() == 2, "both samplers are known")
        await deployment.put("servers/x-other", foreign(zone={"name": "z"}))
        await deployment.put("servers/x-listed", foreign(zone=["z"]))
        await deployment.put("servers/x-deep", UNREADABLE["nested_unknown_field"])
        await deployment.put("servers/x-last", foreign(service=["svc"]))
        await deployment.put("servers/i-0", deployment.samplers[0].entry())
        await eventually(lambda: "servers/x-last" in front.discovery.servers.entries, "read")
        assert (await deployment.ask(front, "/safe/x"))[0] == 200
        await deployment.submit(front, items=24)
        assert len(await deployment.all_results(front, count=24)) == 24
        assert front.registry.count() == 2
        assert not front.supervisor.failing_count()


async def test_a_known_back_end_whose_entry_another_writer_replaces_is_not_used_until_it_is_back(
    caplog,
):
    caplog.set_level(logging.INFO)
    async with Deployment(samplers=2) as deployment:
        await deployment.configure()
        front = await deployment.start_front()
        await eventually(lambda: front.registry.count() == 2, "both samplers are known")
        for number in range(20):
            await deployment.put("servers/i-0", foreign(state=7, seq=number))
        await eventually(lambda: front.registry.count() == 1, "one is left")
        for number in range(6):
            assert (await deployment.ask(front, "/safe/x", request_id=f"r-{number}"))[0] == 200
        assert not deployment.samplers[0].ran
        lines = [record for record in caplog.records if record.message == "back_end_malformed"]
        assert [(line.key, "state" in line.detail) for line in lines] == [("servers/i-0", True)]
        await deployment.put("servers/i-0", deployment.samplers[0].entry())
        await eventually(lambda: front.registry.count() == 2, "it is back")


async def test_a_back_end_of_a_service_that_no_configuration_names_gets_no_version_order():
    async with Deployment(samplers=1) as deployment:
        await deployment.configure()
        front = await deployment.start_front()
        models = [{"name": "m", "version": 1, "adapters": []}]
        await deployment.put("servers/x-other", foreign(service="unnamed", models=models))
        await eventually(lambda: front.registry.count() == 2, "both entries are known")
        assert [one.record.id for one in front.registry.with_model("m")] == ["i-0"]
        services = [{"name": "unnamed"}, {"name": "svc"}]
        await deployment.put(
            "op/config", msgspec.json.encode(configuration(2, ROUTES) | {"services": services})
        )
        await eventually(lambda: len(front.registry.with_model("m")) == 2, "it is named now")


@pytest.mark.parametrize(
    "value",
    [
        b"[]",
        b"[" * 100_000,
        b'{"model":["m"],"version":2}',
        b'{"model":"m","version":"2"}',
        b'{"model":"m"}',
    ],
    ids=["list", "nested", "list_as_model", "text_as_version", "no_version"],
)
def test_an_announced_version_of_another_type_is_malformed(value):
    with pytest.raises(MalformedEntry):
        decode_announced_version(value)


@pytest.mark.parametrize(
    "changed",
    [
        {"hostname": ["app.example"]},
        {"path_prefix": 7},
        {"service": ["svc"]},
        {"service": ""},
        {"timeout_ms": "3000"},
        {"traffic_split": [{"service": {}, "weight": 1}]},
        {"name": ["r"]},
    ],
    ids=str,
)
def test_a_configuration_with_a_field_of_another_type_is_malformed(changed):
    """A list as the service of a route would raise TypeError in each of its requests."""
    value = configuration(1, [route("r", "/a/", "safe") | changed])
    with pytest.raises(MalformedEntry):
        decode_configuration(msgspec.json.encode(value))


def test_a_deeply_nested_configuration_is_malformed():
    with pytest.raises(MalformedEntry):
        decode_configuration(b'{"version":1,"x":' + b"[" * 100_000)


async def test_a_malformed_report_of_a_sampler_counts_as_unanswered():
    class Body:
        async def iter_any(self):
            yield b'{"models":' + b"[" * 100_000

    class Response:
        status, content = 200, Body()

    class Samplers:
        async def open(self, *_):
            return Response()

    with pytest.raises(OrderUnanswered):
        await HttpSamplerControl(Samplers()).report(None)
