"""Regenerates the tables of log events in code and docs from ``events.schema.json``."""

from __future__ import annotations

import json

from pathlib import Path
from typing import Any

SCHEMA_DIRECTORY = Path(__file__).parent
SCHEMA_PATH = SCHEMA_DIRECTORY / "events.schema.json"
MODULE_PATH = SCHEMA_DIRECTORY / "generated" / "events.py"
PAGE_PATH = SCHEMA_DIRECTORY.parents[2] / "docs" / "logs.md"
TABLE_START_MARKER = "<!-- generated from events.schema.json -->"
TABLE_END_MARKER = "<!-- end of the generated part -->"


def read_events() -> dict[str, Any]:
    """Return level, description and fields of each event by its name."""
    events: dict[str, Any] = json.loads(SCHEMA_PATH.read_text(encoding="utf-8"))["events"]
    return events


def render_module(events: dict[str, Any]) -> str:
    """Return the source text of the generated module."""
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


def render_table(events: dict[str, Any]) -> str:
    """Return the Markdown table of the docs page."""
    rows = ["| event | level | meaning | fields |", "|---|---|---|---|"]
    for name, event in events.items():
        fields = "; ".join(f"`{field}`: {text}" for field, text in event["fields"].items())
        rows.append(f"| `{name}` | {event['level']} | {event['description']} | {fields} |")
    return "\n".join(rows)


def render_page(page: str, events: dict[str, Any]) -> str:
    """Return the docs page with its table replaced."""
    before, _, rest = page.partition(TABLE_START_MARKER)
    _, _, after = rest.partition(TABLE_END_MARKER)
    return f"{before}{TABLE_START_MARKER}\n{render_table(events)}\n{TABLE_END_MARKER}{after}"


def main() -> None:
    """Write the module and the table."""
    events = read_events()
    MODULE_PATH.write_text(render_module(events), encoding="utf-8")
    PAGE_PATH.write_text(
        render_page(PAGE_PATH.read_text(encoding="utf-8"), events), encoding="utf-8"
    )


if __name__ == "__main__":
    main()
