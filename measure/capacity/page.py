"""Updates the table in ``docs/CAPACITY.md`` from ``build/capacity.json``."""

from __future__ import annotations

import json

from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN = "<!-- table -->"
END = "<!-- end of table -->"
# Target size: 820 nodes and 10,000 engines in 12 zones, 59,000 requests a second.
NODES_PER_ZONE = 820 / 12
ENGINES_PER_ZONE = 10_000 / 12
REQUESTS_PER_S_PER_NODE = 59_000 / 820
KB = 1000.0


@dataclass(frozen=True, kw_only=True)
class Row:
    """One row of the table; ``scale`` converts the slope's unit to the printed one."""

    role: str
    quantity: str
    slope: str
    size: float
    scale: float
    unit: str
    limit: float
    mechanism: str


ROWS = (
    Row(
        role="control, member",
        quantity="messages sent a second",
        slope="messages sent",
        size=NODES_PER_ZONE,
        scale=1.0,
        unit="1/s",
        limit=0.0,
        mechanism="`digest_interval_s`: at most 16 digests a second, which the formula ignores",
    ),
    Row(
        role="control, member",
        quantity="bytes sent and received a second",
        slope="bytes sent and received by a node",
        size=NODES_PER_ZONE,
        scale=1 / KB,
        unit="KB/s",
        limit=18.0,
        mechanism="`PeerTask`, `decisions/digest.py`: only changes are sent, load levels apart",
    ),
    Row(
        role="control, lease holder",
        quantity="bytes sent and received a second",
        slope="bytes of the lease holder",
        size=NODES_PER_ZONE,
        scale=1 / KB,
        unit="KB/s",
        limit=18.0,
        mechanism="demand is sent to the lease holder only; sampled counts, numeric item "
        "IDs or aggregation between nodes would reduce it, but are not built",
    ),
    Row(
        role="control, member",
        quantity="processor time of digests",
        slope="processor time",
        size=NODES_PER_ZONE,
        scale=100.0,
        unit="% of a core",
        limit=3.0,
        mechanism="`PeerTask`; which node observes which upstream is recomputed only on change",
    ),
    Row(
        role="control, lease holder",
        quantity="processor time of planning, one pass a second over its zone",
        slope="one planning pass",
        size=ENGINES_PER_ZONE,
        scale=100.0,
        unit="% of a core",
        limit=3.0,
        mechanism="`make_plan`; a pass every few seconds would suffice, but is not built",
    ),
    Row(
        role="control, each node",
        quantity="memory of all upstreams' states; 4.6 MB of 64 MB are free after the start",
        slope="upstream states kept",
        size=10_000,
        scale=1e-6,
        unit="MB",
        limit=4.6,
        mechanism="`RoutingTask`; a control process uses 59.4 MB after its start, see below",
    ),
    Row(
        role="entry, control share",
        quantity="processor time of updates, two a second",
        slope="one update of an entry's upstreams",
        size=10_000,
        scale=200.0,
        unit="% of a core",
        limit=3.0,
        mechanism="`Router.update_upstreams`: load levels do not rebuild the index",
    ),
    Row(
        role="entry, data path",
        quantity="processor time of choosing upstreams at 72 requests a second",
        slope="one choice of an upstream",
        size=10_000,
        scale=100.0 * REQUESTS_PER_S_PER_NODE,
        unit="% of a core",
        limit=0.0,
        mechanism="`Router.choose`",
    ),
    Row(
        role="store",
        quantity="calls of the lease holders, 12 zones renewing every 2 s",
        slope="calls of a lease holder",
        size=0.5,
        scale=12.0,
        unit="1/s",
        limit=2000.0,
        mechanism="`LeaseTask`",
    ),
    Row(
        role="store",
        quantity="writes for claims, 1 in 100 requests keyed, at 820 entries",
        slope="calls of one entry for claims",
        size=REQUESTS_PER_S_PER_NODE / 100,
        scale=820.0,
        unit="1/s",
        limit=400.0,
        mechanism="`IdempotencyClaims`: one call at a time; per-zone batching is not built",
    ),
)


def format_row(row: Row, slopes: dict[str, Any]) -> str:
    """Return one row of the table as Markdown."""
    slope = slopes[row.slope]
    points = slope["points"]
    base = max(0.0, slope["base"])
    if row.slope == "calls of one entry for claims":
        # One call per claim at this rate; the fit includes rates at which calls are saturated.
        value = row.size * row.scale
    else:
        value = (base + slope["per_unit"] * row.size) * row.scale
    verdict = ""
    if row.limit:
        ratio = value / row.limit
        verdict = f"{row.limit:g}; " + ("held" if ratio <= 1 else f"{ratio:.1f} times the limit")
    measured = ", ".join(f"{x:g}: {y:.3g}" for x, y in points)
    return (
        f"| {row.role} | {row.quantity} | {measured} {slope['unit']} ({slope['size']}) | "
        f"{base:.3g} + {slope['per_unit']:.3g} n | {value:.3g} {row.unit} | {verdict} | "
        f"{row.mechanism} |"
    )


def main() -> None:
    """Replace the table in the page."""
    found = json.loads((ROOT / "build" / "capacity.json").read_text(encoding="utf-8"))
    slopes = {slope["name"]: slope for slope in found["slopes"]}
    lines = [
        "| role | what | measured | formula | at the target size | limit | mechanism |",
        "|---|---|---|---|---|---|---|",
        *(format_row(row, slopes) for row in ROWS),
    ]
    text = PAGE.read_text(encoding="utf-8")
    before, _, rest = text.partition(BEGIN)
    after = rest.partition(END)[2]
    table = "\n".join(lines)
    PAGE.write_text(f"{before}{BEGIN}\n{table}\n{END}{after}", encoding="utf-8")


if __name__ == "__main__":
    main()
