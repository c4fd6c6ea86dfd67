"""The two deployments of the requirements, servicio and cofnod, as the replay models them."""

from __future__ import annotations

import random

from dataclasses import dataclass

from cactusshunt.decisions.catalogue import Item
from cactusshunt.schema.generated.settings import Objective
from cactusshunt.schema.generated.settings import WeightStore


@dataclass(frozen=True, kw_only=True)
class ReplayEngine:
    """One engine; ``slots`` is the number of requests that it runs at once."""

    name: str
    availability_zone: str
    capacity_mib: int
    slots: int


@dataclass(frozen=True, kw_only=True)
class ReplayDeployment:
    """A simulated deployment; ``mean_service_s`` is the mean slot-seconds of a request."""

    name: str
    zones: tuple[str, ...]
    engines: tuple[ReplayEngine, ...]
    items: tuple[Item, ...]
    weight_store: WeightStore
    objective: Objective
    mean_service_s: float


def make_servicio(seed: int) -> ReplayDeployment:
    """Return the deployment of 40 models, 100 adapters and 13 engines in three zones."""
    return _make_deployment(
        name="servicio",
        zones=("a", "b", "c"),
        engines=13,
        models=40,
        adapters=100,
        weight_store=WeightStore(loads_per_second=2.5, loads_at_once=3),
        objective=Objective(attainment_weight=1.0, move_weight=3.0),
        seed=seed,
    )


def make_cofnod(seed: int) -> ReplayDeployment:
    """Return the deployment of 35 models, 100 adapters and 14 engines in four zones."""
    return _make_deployment(
        name="cofnod",
        zones=("a", "b", "c", "d"),
        engines=14,
        models=35,
        adapters=100,
        weight_store=WeightStore(loads_per_second=2.5, loads_at_once=10),
        objective=Objective(attainment_weight=1.0, move_weight=12.0),
        seed=seed,
    )


def _make_deployment(
    *,
    name: str,
    zones: tuple[str, ...],
    engines: int,
    models: int,
    adapters: int,
    weight_store: WeightStore,
    objective: Objective,
    seed: int,
) -> ReplayDeployment:
    rng = random.Random(f"{name} {seed}")
    return ReplayDeployment(
        name=name,
        zones=zones,
        engines=tuple(
            ReplayEngine(
                name=f"engine-{number:02}",
                availability_zone=zones[number % len(zones)],
                capacity_mib=16000,
                slots=8,
            )
            for number in range(engines)
        ),
        items=tuple(_make_items(models, adapters, rng)),
        weight_store=weight_store,
        objective=objective,
        mean_service_s=1.0,
    )


def _make_items(models: int, adapters: int, rng: random.Random) -> list[Item]:
    items = []
    for number in range(models):
        target = f"team-{number % 6}/model-{number:02}"
        items.append(
            Item(
                item=f"{target}@v1",
                target=target,
                team=f"team-{number % 6}",
                memory_mib=rng.choice((1000, 2000, 3000, 4000)),
                priority=rng.choice((4, 5, 6)),
            )
        )
    bases = list(items)
    for number in range(adapters):
        base = rng.choice(bases)
        target = f"{base.target}:adapter-{number:03}"
        items.append(
            Item(
                item=f"{target}@v1~v1",
                target=target,
                team=base.team,
                memory_mib=rng.choice((40, 80, 120)),
                priority=base.priority,
                base_item=base.item,
            )
        )
    return items
