"""Writes ``docs/settings.md`` from the schemas; ``python -m measure.settings_page``."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from cactusshunt.decisions.documents import load_schema

PAGE = Path(__file__).resolve().parent.parent / "docs" / "settings.md"
INTRODUCTION = """# Settings reference

Generated from the schemas by `python -m measure.settings_page`.
"""
NODE_SETTINGS = """
## Settings file of the node (TOML)

The file that `CACTUSSHUNT_BOOT` names (`platform/boot.py`); the platform sets the other keys.

| key | type | default | meaning |
|---|---|---|---|
"""
HEDGING_ROW = (
    "| `hedging.maxShare` | number, 0 to 0.2 | `0` | Largest part of callers' requests that "
    "may be sent a second time while the first send is late "
    "([second-sends.md](design/second-sends.md)); 0 is off. Read again on SIGHUP and when the"
    " file changes; an invalid file changes nothing. The environment variable "
    "`CACTUSSHUNT_HEDGING_SHARE` of the process goes before it. |\n"
)
NODE_LIMITS = """
## Limits of the node (table `limits` of the settings file)

A change applies from the next start.

| key | type | default | meaning |
|---|---|---|---|
| `memoryMb` | number | `300` | Memory of the process; clients may hold 30% of it. |
| `maxFds` | integer | `4096` | File descriptors of the process, 200 of them for files. |
| `cpuShare` | number above 0 | none | Fraction of a core that the VM has. |
| `cores` | number above 0 | `1` | Speed of that core; the VM has `cpuShare` times `cores`. |
| `linkMbps` | number above 0 | none | Network link of the VM in Mbit/s. |

VMs stand for election as order holder in the order of their size (`cpuShare`, `cores`, `linkMbps`,
`maxFds`). A VM with neither `cpuShare`, `cores` nor `linkMbps` has none; nor has one that lacks
`cpuShare` or `linkMbps`, or where a value is not a number above 0 (log event `size_unreadable`).

Of the other descriptors callers' connections get 25%, those of other VMs 10%, and those to the
ports for readiness and metrics 2.5% each. Clients beyond a bound are refused or closed:
[hostile-clients.md](design/hostile-clients.md).
"""


def describe_type(schema: dict[str, Any]) -> str:
    """Return a property's type with its bounds as Markdown."""
    if "$ref" in schema:
        return f"`{schema['$ref'].rpartition('/')[2]}`"
    if "enum" in schema:
        return "one of " + ", ".join(f"`{value}`" for value in schema["enum"])
    if schema.get("type") == "array":
        return f"list of {describe_type(schema['items'])}"
    if "additionalProperties" in schema:
        return f"{describe_type(schema['additionalProperties'])} by name"
    low = schema.get("minimum", schema.get("exclusiveMinimum"))
    bounds = f", {low} to {schema['maximum']}" if "maximum" in schema else ""
    return f"{schema.get('type', 'any')}{bounds}"


def describe_object(name: str, schema: dict[str, Any]) -> str:
    """Return the page's section on a settings document or on the process settings."""
    lines = [f"\n## {name}\n", schema.get("description", ""), ""]
    lines += ["| key | type | default | meaning |", "|---|---|---|---|"]
    required = schema.get("required", [])
    for key, found in schema.get("properties", {}).items():
        default = "required" if key in required else f"`{found.get('default')}`"
        meaning = found.get("description", "")
        lines.append(f"| `{key}` | {describe_type(found)} | {default} | {meaning} |")
    return "\n".join(lines) + "\n"


def make_page() -> str:
    """Return the page as Markdown."""
    process = load_schema("process")
    parts = [INTRODUCTION, describe_object("Process settings (a file on each VM)", process)]
    for name, schema in load_schema("settings")["$defs"].items():
        parts.append(describe_object(name, schema))
    return "".join([*parts, NODE_SETTINGS, HEDGING_ROW, NODE_LIMITS])


if __name__ == "__main__":
    PAGE.write_text(make_page(), encoding="utf-8")
