"""Steps that measure how messages, bytes and store calls grow with the size of a deployment."""

from __future__ import annotations

from typing import Any

from behave import then
from behave import when

from measure.capacity.peer_cost import PeerSize
from measure.capacity.peer_cost import measure_peers
from measure.capacity.store_cost import STORE_ANSWER_S
from measure.capacity.store_cost import measure_claim_calls
from measure.capacity.store_cost import measure_lease_calls
from measure.capacity.store_cost import measure_watcher_calls

LIMIT_BYTES_PER_S = 18_000
LEASE_TTL_S = 6


@when("zones of {first:d}, {second:d} and {third:d} nodes exchange digests")
def step_exchange_digests(context: Any, first: int, second: int, third: int) -> None:
    context.costs = {
        nodes: measure_peers(
            PeerSize(zones=1, nodes_per_zone=nodes, engines_per_zone=nodes * 2, targets=60)
        )
        for nodes in (first, second, third)
    }


@then("a node sends at most {limit:d} messages a second in each")
def step_messages(context: Any, limit: int) -> None:
    for nodes, cost in context.costs.items():
        assert cost.messages <= limit, (nodes, cost)


@then(
    "in the zone of {nodes:d} nodes, a node without the lease sends and receives together "
    "at most 18 KB a second"
)
def step_bytes(context: Any, nodes: int) -> None:
    cost = context.costs[nodes]
    others = (cost.sent_bytes + cost.received_bytes) * nodes - cost.busiest_node_bytes
    assert others / (nodes - 1) <= LIMIT_BYTES_PER_S, cost


@when(
    "entries with {first:d}, {second:d} and {third:d} non-repeatable requests a second "
    "claim their keys"
)
def step_claims(context: Any, first: int, second: int, third: int) -> None:
    context.calls = {rate: measure_claim_calls(rate) for rate in (first, second, third)}


@then("each entry makes at most one store call per request, and one call at a time")
def step_calls(context: Any) -> None:
    for rate, calls in context.calls.items():
        assert calls <= min(rate, 1.0 / STORE_ANSWER_S) + 1.0, context.calls


@then("a watcher makes at most 2 calls a second and a lease holder at most 1")
def step_idle_store_calls(context: Any) -> None:
    del context
    assert measure_watcher_calls() <= 2.0
    assert measure_lease_calls(LEASE_TTL_S) <= 1.0
