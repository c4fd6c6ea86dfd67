"""Steps on words that all VMs should hear, over links that pass datagrams at once."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from cactusshunt.membership.messages import Message
from cactusshunt.membership.messages import PlacementUpdate
from cactusshunt.membership.peer_link import PeerLink
from cactusshunt.membership.peer_link import PeerRecord


class Wire:
    """Transport of one link that hands datagrams to the links by address."""

    def __init__(self, context: Any, vm: str) -> None:
        self._context = context
        self._vm = vm

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        receiver = address[0]
        self._context.sent.append((self._vm, receiver))
        self._context.links[receiver].datagramReceived(data, ("", 0))


@given("{vms:d} VMs in {zones:d} zones")
def make_links(context: Any, vms: int, zones: int) -> None:
    context.zone_of = {f"vm{number}": f"z{number % zones}" for number in range(vms)}
    context.links = {}
    context.heard = []
    context.handed_on = []
    context.sent = []
    for vm in context.zone_of:
        link = PeerLink(vm=vm, receive=lambda message, vm=vm: receive(context, vm, message))
        link.transport = Wire(context, vm)  # type: ignore[assignment]
        context.links[vm] = link
    for link in context.links.values():
        for vm, zone in context.zone_of.items():
            link.set_peer(vm, PeerRecord(address=vm, port=1, availability_zone=zone))


def receive(context: Any, vm: str, message: Message) -> None:
    assert isinstance(message, PlacementUpdate)
    context.heard.append((vm, message.token))
    if message.forward_in_zone:
        context.handed_on.append(vm)
        context.links[vm].forward_in_zone(message, context.zone_of[vm])


@when("one of them spreads a word twice")
def spread_twice(context: Any) -> None:
    for token in (1, 2):
        news = PlacementUpdate(vm="vm0", token=token, engines=[])
        context.links["vm0"].broadcast(news, context.zone_of["vm0"])


@then("each copy crosses to another zone {crossings:d} times")
def check_crossings(context: Any, crossings: int) -> None:
    zones = context.zone_of
    crossed = sum(zones[sender] != zones[receiver] for sender, receiver in context.sent)
    assert crossed == 2 * crossings, crossed


@then("every other VM hears each copy once")
def check_heard(context: Any) -> None:
    expected = [(vm, token) for token in (1, 2) for vm in context.zone_of if vm != "vm0"]
    assert sorted(context.heard) == sorted(expected)


@then("no VM hands on both copies")
def check_relays(context: Any) -> None:
    assert len(context.handed_on) == len(set(context.handed_on)) == 4
