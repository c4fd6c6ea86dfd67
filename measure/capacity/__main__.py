"""``make capacity``: measures costs at several sizes, prints the slopes and writes them as JSON."""

from __future__ import annotations

import json

from dataclasses import asdict
from pathlib import Path

from measure.capacity.decision_cost import measure_choice
from measure.capacity.decision_cost import measure_planner
from measure.capacity.decision_cost import measure_state_bytes
from measure.capacity.decision_cost import measure_update
from measure.capacity.peer_cost import PeerSize
from measure.capacity.peer_cost import measure_peers
from measure.capacity.slope import Slope
from measure.capacity.slope import fit_slope
from measure.capacity.store_cost import measure_claim_calls
from measure.capacity.store_cost import measure_lease_calls
from measure.capacity.store_cost import measure_watcher_calls

OUTPUT = Path("build/capacity.json")
TARGETS = 100
NODES_PER_ZONE = (4, 8, 16, 24)
ENGINES_PER_NODE = 12
ENGINES = (200, 400, 800)
ITEMS = 400
CLAIMS_PER_S = (20, 100, 400)
LEASE_TTLS_S = (3, 6, 12)


def measure_peer_slopes() -> list[Slope]:
    """Measure the traffic and processor time of peers in zones of growing size."""
    found = [
        (
            float(nodes),
            measure_peers(
                PeerSize(
                    zones=1,
                    nodes_per_zone=nodes,
                    engines_per_zone=nodes * ENGINES_PER_NODE,
                    targets=TARGETS,
                )
            ),
        )
        for nodes in NODES_PER_ZONE
    ]
    size = "nodes in the zone, with 12 engines each"
    return [
        fit_slope("messages sent", "1/s", size, [(n, cost.messages) for n, cost in found]),
        fit_slope(
            "bytes sent and received by a node",
            "B/s",
            size,
            [(n, cost.sent_bytes + cost.received_bytes) for n, cost in found],
        ),
        fit_slope(
            "bytes of the lease holder",
            "B/s",
            size,
            [(n, cost.busiest_node_bytes) for n, cost in found],
        ),
        fit_slope("processor time", "cores", size, [(n, cost.cpu_cores) for n, cost in found]),
    ]


def measure_decision_slopes() -> list[Slope]:
    """Measure the cost of decisions with growing numbers of engines."""
    size = f"engines, {ITEMS} models"
    return [
        fit_slope(
            "one planning pass", "s", size, [(float(n), measure_planner(n, ITEMS)) for n in ENGINES]
        ),
        fit_slope(
            "one choice of an upstream",
            "s",
            size,
            [(float(n), measure_choice(n, ITEMS)) for n in ENGINES],
        ),
        fit_slope(
            "one update of an entry's upstreams",
            "s",
            size,
            [(float(n), measure_update(n, ITEMS)) for n in ENGINES],
        ),
        fit_slope(
            "upstream states kept",
            "B",
            size,
            [(float(n), measure_state_bytes(n, ITEMS)) for n in ENGINES],
        ),
    ]


def measure_store_slopes() -> list[Slope]:
    """Count the store calls of claims and lease renewals at growing rates."""
    return [
        fit_slope(
            "calls of one entry for claims",
            "1/s",
            "non-repeatable requests a second",
            [(float(n), measure_claim_calls(n)) for n in CLAIMS_PER_S],
        ),
        fit_slope(
            "calls of a lease holder",
            "1/s",
            "renewals a second",
            # A lease is renewed three times per TTL.
            [(3.0 / ttl, measure_lease_calls(ttl)) for ttl in LEASE_TTLS_S],
        ),
    ]


def main() -> None:
    """Run all measurements; write them to ``build/capacity.json`` and print them."""
    slopes = [*measure_peer_slopes(), *measure_decision_slopes(), *measure_store_slopes()]
    found = {
        "slopes": [asdict(slope) for slope in slopes],
        "calls of one watcher a second": measure_watcher_calls(),
    }
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(json.dumps(found, indent=1), encoding="utf-8")
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
