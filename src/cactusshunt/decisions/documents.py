"""JSON documents with comments: syntax checks, schema checks and line numbers of errors."""

from __future__ import annotations

import difflib
import json

from functools import cache
from importlib import resources
from typing import TYPE_CHECKING
from typing import Any

import tree_sitter
import tree_sitter_json

from jsonschema import Draft202012Validator

from cactusshunt.exceptions import SettingsError

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from jsonschema.exceptions import ValidationError


def strip_comments(text: str) -> bytes:
    """Return a valid document's bytes with each comment replaced by spaces."""
    data = bytearray(text.encode())
    if b"//" not in data and b"/*" not in data:
        return bytes(data)
    for node in _walk(_parse(bytes(data)).root_node):
        if node.type == "comment":
            data[node.start_byte : node.end_byte] = b" " * (node.end_byte - node.start_byte)
    return bytes(data)


def check_document(text: str, schema_name: str, definition: str | None) -> list[SettingsError]:
    """Return every error of a document against one schema, sorted by line.

    ``schema_name`` names a schema file of this package. ``definition`` names one of its ``$defs``;
    ``None`` stands for the whole schema.
    """
    tree = _parse(text.encode())
    try:
        value = json.loads(strip_comments(text))
    except json.JSONDecodeError as failure:
        return [_make_syntax_error(line=_locate_syntax_error(failure))]
    if tree.root_node.has_error:
        return [_describe_syntax_error(tree.root_node)]
    found = _find_duplicate_keys(tree.root_node)
    for error in _validator(schema_name, definition).iter_errors(value):
        found.extend(_describe_error(error, tree.root_node))
    return sorted(found, key=lambda item: (item.line, item.path, item.reason))


@cache
def _parser() -> tree_sitter.Parser:
    return tree_sitter.Parser(tree_sitter.Language(tree_sitter_json.language()))


def _parse(data: bytes) -> tree_sitter.Tree:
    return _parser().parse(data)


@cache
def load_schema(name: str) -> dict[str, Any]:
    """Return a schema of this package by its name."""
    path = resources.files("cactusshunt.schema") / f"{name}.schema.json"
    schema: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
    return schema


@cache
def _validator(schema_name: str, definition: str | None) -> Draft202012Validator:
    schema = load_schema(schema_name)
    if definition is None:
        return Draft202012Validator(schema)
    return Draft202012Validator({"$ref": f"#/$defs/{definition}", "$defs": schema["$defs"]})


def _walk(node: tree_sitter.Node) -> Iterator[tree_sitter.Node]:
    yield node
    for child in node.children:
        yield from _walk(child)


def _locate_syntax_error(failure: json.JSONDecodeError) -> int:
    """Return the line of the last token that was parsed; the mistake is usually there."""
    return failure.doc[: failure.pos].rstrip().count("\n") + 1


def _make_syntax_error(*, line: int) -> SettingsError:
    return SettingsError(
        path="$",
        line=line,
        reason="The document is not valid JSON (comments are allowed).",
        remedy="Look for a missing comma, quote or bracket, or a comma before a closing bracket.",
    )


def _describe_syntax_error(root: tree_sitter.Node) -> SettingsError:
    for node in _walk(root):
        if node.type == "ERROR" or node.is_missing:
            return _make_syntax_error(line=node.start_point[0] + 1)
    return _make_syntax_error(line=1)


def _key_of(pair: tree_sitter.Node) -> str:
    key = pair.child_by_field_name("key")
    text = key.text if key is not None else None
    return str(json.loads(text)) if text else ""


def _list_pairs(node: tree_sitter.Node) -> list[tree_sitter.Node]:
    return [child for child in node.named_children if child.type == "pair"]


def _find_duplicate_keys(root: tree_sitter.Node) -> list[SettingsError]:
    found = []
    for node in _walk(root):
        if node.type != "object":
            continue
        seen: set[str] = set()
        for pair in _list_pairs(node):
            key = _key_of(pair)
            if key in seen:
                found.append(
                    SettingsError(
                        path=key,
                        line=pair.start_point[0] + 1,
                        reason=f"The key {key!r} appears twice in one object.",
                        remedy="Remove one of the two.",
                    )
                )
            seen.add(key)
    return found


def _locate_path(root: tree_sitter.Node, path: Sequence[str | int]) -> int:
    """Return the line, counted from 1, of the deepest existing node along ``path``."""
    node = root.named_children[-1] if root.type == "document" and root.named_children else root
    for step in path:
        next_node = _step_into(node, step)
        if next_node is None:
            break
        node = next_node
    return node.start_point[0] + 1


def _step_into(node: tree_sitter.Node, step: str | int) -> tree_sitter.Node | None:
    if isinstance(step, int):
        items = [child for child in node.named_children if child.type != "comment"]
        return items[step] if step < len(items) else None
    for pair in _list_pairs(node):
        if _key_of(pair) == step:
            return pair.child_by_field_name("value")
    return None


def _format_path(path: Sequence[str | int]) -> str:
    return "$" + "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in path)


def _describe_error(error: ValidationError, root: tree_sitter.Node) -> list[SettingsError]:
    path = list(error.absolute_path)
    if error.validator == "additionalProperties" and isinstance(error.instance, dict):
        return _describe_unknown_keys(error, root, path)
    return [
        SettingsError(
            path=_format_path(path),
            line=_locate_path(root, path),
            reason=f"{error.message}.",
            remedy=_remedy_for(error),
        )
    ]


def _describe_unknown_keys(
    error: ValidationError, root: tree_sitter.Node, path: list[str | int]
) -> list[SettingsError]:
    schema: dict[str, Any] = error.schema if isinstance(error.schema, dict) else {}
    known = list(schema.get("properties", {}))
    found = []
    instance: dict[str, Any] = error.instance if isinstance(error.instance, dict) else {}
    for key in instance:
        if key in known:
            continue
        close_matches = difflib.get_close_matches(key, known, n=1)
        found.append(
            SettingsError(
                path=_format_path([*path, key]),
                line=_locate_path(root, [*path, key]),
                reason=f"{key!r} is not a known setting.",
                remedy=(
                    f"Did you mean {close_matches[0]!r}?"
                    if close_matches
                    else f"Known settings: {', '.join(sorted(known))}."
                ),
            )
        )
    return found


_REMEDIES = {
    "required": "Add the missing key.",
    "pattern": "Use a value that matches the pattern {value}.",
    "minimum": "Use {value} or more.",
    "maximum": "Use {value} or less.",
    "exclusiveMinimum": "Use a value above {value}.",
    "type": "Use a value of type {value}.",
    "enum": "Use one of {value}.",
    "minItems": "Give at least {value} entries.",
}


def _remedy_for(error: ValidationError) -> str:
    template = _REMEDIES.get(str(error.validator), "See the settings reference.")
    return template.format(value=error.validator_value)
