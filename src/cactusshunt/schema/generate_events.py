"""Regenerates the table of log events, in code and in the docs, from ``events.schema.json``."""

from __future__ import annotations

import json

from pathlib import Path
from typing import Any

SCHEMA_DIRECTORY = Path(__file__).parent
SCHEMA = SCHEMA_DIRECTORY / "events.schema.json"
MODULE = SCHEMA_DIRECTORY / "generated" / "events.py"
PAGE = SCHEMA_DIRECTORY.parents[2] / "docs" / "logs.md"
TABLE_BEGINS = "<!-- generated from events.schema.json -->"
TABLE_ENDS = "<!-- end of the generated part -->"


def read_events() -> dict[str, Any]:
    """Return level, description and fields by event."""
    events: dict[str, Any] = json.loads(SCHEMA.read_text(encoding="utf-8"))["events"]
    return events


def describe_module(events: dict[str, Any]) -> str:
    """Return the source of the generated module."""
    rows = [
        '"""Levels and fields of log events, generated from events.schema.json."""',
        "",
        "from __future__ import annotations",
        "",
        "EVENT_LEVELS: dict[str, str] = {",
        *(f'    "{name}": "{event["level"]}",' for name, event in events.items()),
        "}",
        "EVENT_FIELDS: dict[str, tuple[str, ...]] = {",
    ]
    for name, event in events.items():
        rows.append(f'    "{name}": (')
        rows += [f'        "{field}",' for field in event["fields"]]
        rows.append("    ),")
    return "\n".join([*rows, "}", ""]).replace(" (\n    ),", " (),")


def describe_table(events: dict[str, Any]) -> str:
    """Return the rows of the docs page."""
    rows = ["| event | level | meaning | fields |", "|---|---|---|---|"]
    for name, event in events.items():
        fields = "; ".join(f"`{field}`: {text}" for field, text in event["fields"].items())
        rows.append(f"| `{name}` | {event['level']} | {event['description']} | {fields} |")
    return "\n".join(rows)


def describe_page(page: str, events: dict[str, Any]) -> str:
    """Return the docs page with its table renewed."""
    before, _, rest = page.partition(TABLE_BEGINS)
    _, _, after = rest.partition(TABLE_ENDS)
    return f"{before}{TABLE_BEGINS}\n{describe_table(events)}\n{TABLE_ENDS}{after}"


def main() -> None:
    """Write the module and the table."""
    events = read_events()
    MODULE.write_text(describe_module(events), encoding="utf-8")
    PAGE.write_text(describe_page(PAGE.read_text(encoding="utf-8"), events), encoding="utf-8")


if __name__ == "__main__":
    main()
