"""Typed view of all accepted settings."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from cactusshunt.decisions.documents import strip_comments
from cactusshunt.decisions.names import adapter_item
from cactusshunt.schema.generated.settings import Administrator
from cactusshunt.schema.generated.settings import Administrators
from cactusshunt.schema.generated.settings import ModelSettings
from cactusshunt.schema.generated.settings import Objective
from cactusshunt.schema.generated.settings import ServiceSettings
from cactusshunt.schema.generated.settings import TeamAccess
from cactusshunt.schema.generated.settings import UpstreamKind
from cactusshunt.schema.generated.settings import WeightStore

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from cactusshunt.schema.generated.messages import Subtree


_T = TypeVar("_T")

DEPLOYMENT_SUBJECT = "deployment"
DEFAULT_OBJECTIVE = Objective(attainment_weight=1.0, move_weight=5.0)
DEFAULT_WEIGHT_STORE = WeightStore(loads_per_second=1.0, loads_at_once=1)


@dataclass(frozen=True, kw_only=True)
class Item:
    """One version of a declared model or adapter; ``target`` is its name without the version."""

    item: str
    target: str
    team: str
    memory_mib: int
    priority: int
    base_item: str | None = None


@dataclass(frozen=True, kw_only=True)
class Catalogue:
    """Everything that accepted settings declare; models, services and items by target."""

    access: Mapping[str, TeamAccess] = field(default_factory=dict)
    models: Mapping[str, ModelSettings] = field(default_factory=dict)
    services: Mapping[str, ServiceSettings] = field(default_factory=dict)
    items: Mapping[str, Item] = field(default_factory=dict)
    upstream_kinds: Mapping[str, UpstreamKind] = field(default_factory=dict)
    weight_store: WeightStore = DEFAULT_WEIGHT_STORE
    objective: Objective = DEFAULT_OBJECTIVE
    administrators: tuple[Administrator, ...] = ()

    def kind_of(self, kind: str) -> UpstreamKind:
        """Return the guarantees of an upstream kind; an unknown kind guarantees nothing."""
        return self.upstream_kinds.get(kind, UpstreamKind())

    def declared_item(self, target: str) -> Item | None:
        """Return the declared version of ``team/model[:adapter]``, or ``None``."""
        return self.items.get(target)


def build_catalogue(subtrees: Iterable[Subtree]) -> Catalogue:
    """Combine accepted subtrees into one catalogue; their documents must be valid."""
    access: dict[str, TeamAccess] = {}
    models: dict[str, ModelSettings] = {}
    services: dict[str, ServiceSettings] = {}
    kinds: dict[str, UpstreamKind] = {}
    deployment_documents: dict[str, bytes] = {}
    for subtree in subtrees:
        team = subtree.subject.partition("/")[2]
        for path, text in subtree.documents.items():
            data = strip_comments(text)
            section, _, name = path.partition("/")
            if subtree.subject == DEPLOYMENT_SUBJECT and section == "upstream_kinds":
                kinds[name] = msgspec.json.decode(data, type=UpstreamKind)
            elif subtree.subject == DEPLOYMENT_SUBJECT:
                deployment_documents[section] = data
            elif section == "access":
                access[team] = msgspec.json.decode(data, type=TeamAccess)
            elif section == "models":
                models[f"{team}/{name}"] = msgspec.json.decode(data, type=ModelSettings)
            elif section == "services":
                services[f"{team}/{name}"] = msgspec.json.decode(data, type=ServiceSettings)
    return Catalogue(
        access=access,
        models=models,
        services=services,
        items=_list_items(models),
        upstream_kinds=kinds,
        weight_store=_decode(
            deployment_documents.get("weight_store"), WeightStore, DEFAULT_WEIGHT_STORE
        ),
        objective=_decode(deployment_documents.get("objective"), Objective, DEFAULT_OBJECTIVE),
        administrators=tuple(
            _decode(
                deployment_documents.get("administrators"),
                Administrators,
                Administrators(administrators=[]),
            ).administrators
        ),
    )


def _decode(data: bytes | None, kind: type[_T], default: _T) -> _T:
    return default if data is None else msgspec.json.decode(data, type=kind)


def _list_items(models: Mapping[str, ModelSettings]) -> dict[str, Item]:
    """Return the declared items by target."""
    items: dict[str, Item] = {}
    for target, model in models.items():
        team = target.partition("/")[0]
        base = f"{target}@{model.version}"
        items[target] = Item(
            item=base,
            target=target,
            team=team,
            memory_mib=model.memory_mib,
            priority=model.priority,
        )
        for name, adapter in model.adapters.items():
            adapter_target = f"{target}:{name}"
            items[adapter_target] = Item(
                item=adapter_item(
                    adapter_target, version=adapter.version, base_version=model.version
                ),
                target=adapter_target,
                team=team,
                memory_mib=adapter.memory_mib,
                priority=model.priority,
                base_item=base,
            )
    return items
