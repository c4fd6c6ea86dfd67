"""Names of models and adapters.

A target is a name without version (``team/model`` or ``team/model:adapter``). An item is one with
its version, ``team/model@v1``; that of an adapter also names its model's version, as in
``team/model:adapter@v1~v2``.
"""

from __future__ import annotations

import re

from dataclasses import dataclass

from expression import Error
from expression import Ok
from expression import Result

from cactusshunt.exceptions import ModelNameError

_BASE_VERSION_SEPARATOR = "~"
_NAME = re.compile(
    r"(?P<team>[a-z0-9][a-z0-9_-]*)/(?P<model>[a-z0-9][a-z0-9._-]*)"
    r"(?::(?P<adapter>[a-z0-9][a-z0-9_-]*))?(?:@(?P<version>[a-z0-9][a-z0-9._-]*))?"
)


@dataclass(frozen=True, kw_only=True)
class ModelName:
    """Parsed form of ``team/model[:adapter][@version]``."""

    team: str
    model: str
    adapter: str | None = None
    version: str | None = None

    @property
    def target(self) -> str:
        """Return the name without its version."""
        adapter = f":{self.adapter}" if self.adapter else ""
        return f"{self.team}/{self.model}{adapter}"


def parse_model_name(text: str) -> Result[ModelName, ModelNameError]:
    """Parse a model name from a caller's request."""
    match = _NAME.fullmatch(text)
    if match is None:
        return Error(
            ModelNameError(
                reason="The model name is not of the form team/model[:adapter][@version].",
                remedy="GET /v1/models lists the available model names.",
            )
        )
    return Ok(ModelName(**match.groupdict()))


def target_of(item: str) -> str:
    """Return the target of an item: its name without the version."""
    return item.partition("@")[0]


def base_target_of(item: str) -> str:
    """Return the ``team/model`` part of a model's or an adapter's item."""
    return target_of(item).partition(":")[0]


def adapter_item(target: str, *, version: str, base_version: str) -> str:
    """Return the item name of an adapter, which belongs to one version of its model."""
    return f"{target}@{version}{_BASE_VERSION_SEPARATOR}{base_version}"


def base_item_of(item: str) -> str:
    """Return the model item that an adapter item belongs to."""
    base_version = item.partition("@")[2].partition(_BASE_VERSION_SEPARATOR)[2]
    return f"{base_target_of(item)}@{base_version}"


def version_of_item(item: str) -> str:
    """Return an item's version in the form that callers use, without the model's version."""
    return item.partition("@")[2].partition(_BASE_VERSION_SEPARATOR)[0]


def is_adapter(item: str) -> bool:
    """Tell whether an item names an adapter."""
    return ":" in target_of(item)
