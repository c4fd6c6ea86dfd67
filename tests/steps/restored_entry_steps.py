"""Steps on upstreams' entries when the store comes back from a copy."""

from __future__ import annotations

import json

from typing import Any

from behave import given
from behave import step
from behave import then
from twisted.internet.task import Clock

from cactusshunt.platform.store import StoredItem
from cactusshunt.routing.upstream_directory import UpstreamDirectory


class Entries:
    """A directory of one upstream, ``e1``, and its writes to the store."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.directory = UpstreamDirectory(drain_s=2.0, clock=self.clock.seconds)
        self.write()

    def write(self, *, state: str = "ready", born: int = 1, from_copy: bool = False) -> None:
        entry = {"service": "s", "address": "127.0.0.1:1", "state": state, "born": born}
        self._apply(json.dumps(entry).encode(), from_copy)

    def remove(self, *, from_copy: bool = False) -> None:
        self._apply(None, from_copy)

    def _apply(self, value: bytes | None, from_copy: bool) -> None:
        item = StoredItem(key="servers/e1", value=value, revision=1, from_copy=from_copy)
        self.directory.apply_stored_entry(item)

    def gets_requests(self) -> bool:
        return any(found.removed_at is None for found in self.directory.usable("s"))


@given('upstream "e1" is known, and the copy from which the store comes back lacks it')
def make_missing(context: Any) -> None:
    def build() -> Entries:
        entries = Entries()
        entries.remove(from_copy=True)
        return entries

    context.build = build


@given('upstream "e1" has left, and the copy from which the store comes back has it')
def make_left(context: Any) -> None:
    def build() -> Entries:
        entries = Entries()
        entries.remove()
        entries.clock.advance(4.0)
        entries.write(from_copy=True)
        return entries

    context.build = build


@given('upstream "e1" is draining, and the copy from which the store comes back has it as ready')
def make_draining(context: Any) -> None:
    def build() -> Entries:
        entries = Entries()
        entries.write(state="draining")
        entries.write(from_copy=True)
        return entries

    context.build = build


def check_after(entries: Entries, seconds: float, expected: bool) -> None:
    entries.clock.advance(seconds)
    assert entries.gets_requests() == expected


@then("it gets requests for 2 seconds, and none after 3 seconds")
def check_missing(context: Any) -> None:
    entries = context.build()
    check_after(entries, 2.0, True)
    check_after(entries, 1.0, False)


@step("it gets requests after 3 seconds if it has written its entry again")
def check_written_again(context: Any) -> None:
    entries = context.build()
    entries.clock.advance(1.0)
    entries.write()
    check_after(entries, 2.0, True)


@then("it gets no requests for 4 seconds, and requests after 6 seconds")
def check_held_back(context: Any) -> None:
    entries = context.build()
    check_after(entries, 4.0, False)
    check_after(entries, 2.0, True)


@step("it gets none after 6 seconds if the platform has removed it again")
def check_removed_again(context: Any) -> None:
    entries = context.build()
    entries.clock.advance(3.0)
    entries.remove()
    check_after(entries, 3.0, False)


@then("it gets no requests for 6 seconds")
def check_draining(context: Any) -> None:
    check_after(context.build(), 6.0, False)


@step("it gets requests once it has started again")
def check_started_again(context: Any) -> None:
    entries = context.build()
    entries.write(born=2)
    check_after(entries, 0.0, True)
