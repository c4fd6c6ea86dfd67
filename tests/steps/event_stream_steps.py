"""Steps on splitting a stream into its events."""

from __future__ import annotations

import re
import time

from typing import Any

from behave import given
from behave import then
from behave import when
from hypothesis import given as given_any
from hypothesis import strategies as st

from cactusshunt.requests.event_stream import EventSplitter


@given("the first event of a stream, of {size:d} bytes")
def make_event(context: Any, size: int) -> None:
    context.event = b"data: ".ljust(size - 2, b"x") + b"\n\n"


@when("it arrives in parts of {size:d} bytes")
def split_event(context: Any, size: int) -> None:
    context.splitter = EventSplitter()
    context.limit_s = 5.0
    context.complete = []
    began_s = time.process_time()
    for at in range(0, len(context.event), size):
        context.complete.append(context.splitter.add(context.event[at : at + size]))
        context.took_s = time.process_time() - began_s
        if context.took_s > context.limit_s:
            return


@then("it takes less than {seconds:g} s of the processor, and is complete with its last part")
def check_event(context: Any, seconds: float) -> None:
    assert context.took_s < seconds == context.limit_s, context.took_s
    assert context.complete[-1] == context.event
    assert not any(context.complete[:-1])
    assert context.splitter.count == 1


@given("streams of events with line ends of both kinds")
def make_streams(context: Any) -> None:
    line_end = st.sampled_from([b"\n", b"\r\n"])
    event = st.tuples(st.integers(1, 99), line_end, line_end).map(
        lambda found: b"id: %d%bdata: x%b%b" % (found[0], found[1], found[1], found[2])
    )
    context.streams = st.lists(event, max_size=8).map(b"".join)


@then("the same events are complete in whatever parts the bytes arrive")
def check_events(context: Any) -> None:
    @given_any(context.streams, st.lists(st.integers(1, 5), max_size=60))
    def check(stream: bytes, sizes: list[int]) -> None:
        splitter = EventSplitter()
        complete = b""
        rest = stream
        for size in [*sizes, len(stream) or 1]:
            part = splitter.add(rest[:size])
            assert part is not None
            complete += part
            rest = rest[size:]
        ends = [found.end() for found in re.finditer(rb"\r?\n\r?\n", stream)]
        assert complete == stream[: ends[-1] if ends else 0]
        assert splitter.incomplete == stream[len(complete) :]
        assert splitter.count == len(ends)

    check()
