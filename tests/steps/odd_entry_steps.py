"""Steps on entries, reports, configurations and messages that other writers got wrong."""

from __future__ import annotations

import contextlib
import json

from typing import Any

import msgspec

from behave import given
from behave import then
from behave import when
from hypothesis import example
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from cactusshunt.exceptions import CactusshuntError
from cactusshunt.membership.messages import EngineItems
from cactusshunt.membership.messages import PlacementUpdate
from cactusshunt.membership.messages import decode_message
from cactusshunt.membership.messages import encode_message
from cactusshunt.membership.peer_link import PeerLink
from cactusshunt.platform import headers as names
from cactusshunt.platform.documents import UpstreamEntry
from cactusshunt.platform.documents import decode_configuration
from cactusshunt.platform.documents import decode_report
from cactusshunt.platform.documents import decode_upstream_entry
from cactusshunt.platform.model_headers import read_deadline_ms
from cactusshunt.platform.model_headers import read_generation_request
from cactusshunt.platform.store import StoredItem
from cactusshunt.quarantine.convicted_keys import decode_conviction
from cactusshunt.routing.upstream_directory import UpstreamDirectory
from cactusshunt.schema.codec import PEER_MESSAGES
from cactusshunt.schema.codec import decode_message as decode_control_message
from cactusshunt.streams.stream_records import decode_streams
from tests.steps.node_steps import send_request

PROPER = {"service": "s", "address": "10.0.0.1:80", "state": "ready", "slots": 8, "born": 5}
DEEP = 20_000


def with_fields(**fields: Any) -> bytes:
    return json.dumps({**PROPER, **fields}).encode()


def with_raw(field: str, text: str) -> bytes:
    """Return an entry with a field's value as raw JSON."""
    return with_fields(**{field: "RAW"}).replace(b'"RAW"', text.encode())


ODD = {
    "20000 nested lists": with_raw("models", "[" * DEEP + "]" * DEEP),
    "a port of 5000 digits": with_fields(address="10.0.0.1:" + "9" * 5000),
    "a port of superscript digits": with_fields(address="10.0.0.1:⁸⁰"),
    "port 99999": with_fields(address="10.0.0.1:99999"),
    "port 0": with_fields(address="10.0.0.1:0"),
    "an IPv6 address": with_fields(address="[::1]:80"),
    "a host name": with_fields(address="engine.example:80"),
    "a host of 70000 characters": with_fields(address="h" * 70_000 + ":80"),
    "slots of 400 digits": with_raw("slots", "9" * 400),
    "slots of 5000 digits": with_raw("slots", "9" * 5000),
    "negative slots": with_fields(slots=-5),
    "a start before time": with_fields(born=-1),
    "a start of 30 digits": with_raw("born", "9" * 30),
    "a nested version": with_fields(version={"a": [1, {"b": 2}]}),
    "bytes that are no text": b'{"service": "\xff\xfe", "address": "10.0.0.1:80"}',
    "a model name of 10000 letters": with_fields(models=[{"name": "m" * 10_000}]),
    "no state": json.dumps({"service": "s", "address": "10.0.0.1:80"}).encode(),
    "an unknown state": with_fields(state="sleepy"),
}


def apply(context: Any, name: str, value: bytes) -> None:
    item = StoredItem(key=f"servers/{name}", value=value, revision=1)
    context.directory.apply_stored_entry(item)


@given("a VM that uses an engine by its entry")
def use_engine(context: Any) -> None:
    context.directory = UpstreamDirectory(drain_s=2.0, clock=Clock().seconds)
    apply(context, "e1", with_fields())
    assert [found.name for found in context.directory.usable("s")] == ["e1"]


@when("its entry is replaced by one that has {how}")
def replace_entry(context: Any, how: str) -> None:
    apply(context, "e1", ODD[how])


@then("no engine is usable, nothing was raised, and the next proper entry is used again")
def check_replaced(context: Any) -> None:
    assert not context.directory.usable("s")
    assert not context.directory.all()
    apply(context, "e1", with_fields())
    assert [found.name for found in context.directory.usable("s")] == ["e1"]


@then("engines with a line break, a space or other letters in their names are not used")
def check_names(context: Any) -> None:
    context.directory = UpstreamDirectory(drain_s=2.0, clock=Clock().seconds)
    for name in ("e\r\nX-Evil: 1", "e 1", "", "é", "e" * 201):
        apply(context, name, with_fields())
    assert not context.directory.usable("s")
    apply(context, "i-7f3a91c2", with_fields())
    assert context.directory.usable("s")


any_json = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(min_value=10**399, max_value=10**400)
    | st.floats()
    | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
entries = st.fixed_dictionaries(
    {}, optional=dict.fromkeys(UpstreamEntry.__struct_encode_fields__, any_json)
).map(lambda fields: json.dumps({**PROPER, **fields}).encode())
datagrams = st.tuples(
    st.sampled_from("sdplqgcavn"), st.lists(st.integers() | st.text() | st.none(), max_size=8)
).map(lambda parts: encode_array([parts[0], *parts[1]]))


def encode_array(values: list[Any]) -> bytes:
    with contextlib.suppress(OverflowError):
        return msgspec.msgpack.encode(values)
    return b""


@then("no reader raises anything but a typed error, and what it accepts can be sent on")
def check_readers(context: Any) -> None:
    @settings(max_examples=300)
    @given_any(st.binary(max_size=200) | entries | datagrams)
    @example(b"[" * DEEP + b"]" * DEEP)
    @example(b'{"version":' + b"[" * DEEP + b"]" * DEEP + b"}")
    @example(b"\x91" * DEEP + b"\x90")
    @example(b'{"version":' + b"9" * 5000 + b"}")
    @example(b"9" * 5000)
    @example("⁸⁰".encode("latin-1", "replace") + b"\xb2:\xb2")
    def check(value: bytes) -> None:
        read_all(value)

    check()


def read_all(value: bytes) -> None:
    """Read bytes with every reader of what others write."""
    entry = decode_upstream_entry(value)
    report = decode_report(value)
    for found in (entry, report):
        if found is None:
            continue
        items = EngineItems(
            upstream="e1",
            born=found.born,
            update_number=1,
            models={model.name: model.adapters for model in found.models},
            coming={},
        )
        assert encode_message(PlacementUpdate(vm="vm0", token=1, engines=[items]))
    with contextlib.suppress(CactusshuntError):
        decode_configuration(value)
    decode_conviction(value, now=0.0, unix_s=0.0)
    decode_streams([StoredItem(key="k", value=value, revision=1)])
    decode_message(value)
    for kind in PEER_MESSAGES:
        decode_control_message([kind, value])
    PeerLink(vm="vm0", receive=lambda message: None).datagramReceived(value, None)
    headers = [(names.DETOUR, b"vm1;" + value), (names.RETRY_AFTER, value), (b"date", value)]
    names.read_detour(headers)
    with contextlib.suppress(CactusshuntError):
        names.read_retry_after(headers)
    names.read_avoided([(names.AVOIDED, value)])
    read_deadline_ms([(names.DEADLINE, value)])
    caller_headers = [(names.TOKEN_COUNT, value), (names.PROMPT_PREFIX, value)]
    read_generation_request([(names.MODEL, value), *caller_headers])


@when("the plain service names its load in 5000 digits")
def name_odd_load(context: Any) -> None:
    context.nodes.say("s1", load="9" * 5000 + ",1,1")


@then("a request that may run once is answered, or its answer does not say that it did not run")
def check_odd_load(context: Any) -> None:
    request_id, status, _, _ = send_request(context, "n1", "/once/x")
    assert request_id in context.nodes.list_executed_requests()
    assert status == 200, status
