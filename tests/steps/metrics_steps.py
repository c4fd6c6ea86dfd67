"""Steps on the metrics of nodes."""

from __future__ import annotations

import re

from typing import Any

from behave import then

from local.platform_deployment import wait_until

NAMES = (
    "cactusshunt_first_byte_seconds_bucket",
    "cactusshunt_queue_seconds_count",
    "cactusshunt_upstream_seconds_sum",
    "cactusshunt_store_calls_total",
    "cactusshunt_upstreams",
    "cactusshunt_peers 1.0",
    "cactusshunt_retries_left",
    "process_resident_memory_bytes",
    "process_open_fds",
)


def count(text: str, kind: str) -> int:
    """Return the answered requests of a kind."""
    found = re.findall(rf'requests_total\{{kind="{kind}",outcome="answered".*\}} ([\d.]+)', text)
    return sum(int(float(value)) for value in found)


@then("the metrics of both nodes count {streams:d} streams and {plain:d} plain request as answered")
def check_counts(context: Any, streams: int, plain: int) -> None:
    texts = [context.nodes.metrics(name) for name in context.nodes.fronts]
    assert sum(count(text, "streaming") for text in texts) == streams
    assert sum(count(text, "non_idempotent") for text in texts) == plain
    context.texts = texts


@then("they tell times to the first byte, calls to the store, upstreams, peers and memory")
def check_names(context: Any) -> None:
    for text in context.texts:
        for name in NAMES:
            assert name in text, name


@then("a second process on the same port serves callers without metrics")
def check_port_taken(context: Any) -> None:
    nodes = context.nodes
    nodes.start_node("n1", front=nodes.fronts["n1"] + 30, metrics=nodes.fronts["n1"] + 3)
    nodes.fronts["n1"] += 30
    wait_until(lambda: nodes.is_ready("n1"))
    wait_until(lambda: "metrics_unavailable" in nodes.read_log("n1"))
