"""processor time of the planner and the router, and memory of upstream states in control."""

from __future__ import annotations

import random
import time
import tracemalloc

from typing import TYPE_CHECKING

from cactusshunt.decisions.catalogue import Item
from cactusshunt.decisions.placement_input import EngineView
from cactusshunt.decisions.placement_input import PlacementInput
from cactusshunt.decisions.planner import make_plan
from cactusshunt.decisions.router import Router
from cactusshunt.schema.codec import decode_message
from cactusshunt.schema.codec import encode_message
from cactusshunt.schema.generated.messages import EngineRecord
from cactusshunt.schema.generated.messages import PeerDigest
from cactusshunt.schema.generated.messages import Resident
from cactusshunt.schema.generated.messages import UpstreamState
from cactusshunt.schema.generated.settings import Objective

if TYPE_CHECKING:
    from collections.abc import Callable

ITEMS_PER_ENGINE = 12
PLAN_RUNS = 5
UPDATE_RUNS = 200
CHOICE_RUNS = 2000


def _measure_cpu_s(run: Callable[[], object], repeats: int) -> float:
    """Return the mean processor seconds of a run."""
    started_at = time.process_time()
    for _ in range(repeats):
        run()
    return (time.process_time() - started_at) / repeats


def _make_items(count: int) -> dict[str, Item]:
    targets = [f"team-{number % 20}/model-{number}" for number in range(count)]
    return {
        target: Item(item=f"{target}@v1", target=target, team="t", memory_mib=1000, priority=5)
        for target in targets
    }


def measure_planner(engines: int, items: int) -> float:
    """Return the processor seconds of one planning pass over a zone in a steady state."""
    rng = random.Random(1)
    declared = _make_items(items)
    names = [item.item for item in declared.values()]
    views = tuple(
        EngineView(
            record=EngineRecord(
                engine=f"engine-{number}",
                availability_zone="a",
                capacity_mib=ITEMS_PER_ENGINE * 1000,
                fence=1,
                incarnation="1",
                resident=[
                    Resident(item=name, memory_mib=1000)
                    for name in rng.sample(names, min(ITEMS_PER_ENGINE, items))
                ],
            ),
            slots=64,
        )
        for number in range(engines)
    )
    state = PlacementInput(
        availability_zone="a",
        reachable_zones=frozenset("a"),
        items=declared,
        engines=views,
        objective=Objective(attainment_weight=1.0, move_weight=5.0),
        now=0.0,
        demand=dict.fromkeys(declared, engines * 30.0 / items),
    )
    return _measure_cpu_s(lambda: make_plan(state), PLAN_RUNS)


def _make_states(count: int, items: int) -> list[UpstreamState]:
    rng = random.Random(2)
    names = [f"team-{n % 20}/model-{n}@v1" for n in range(items)]
    return [
        UpstreamState(
            vm=f"engine-{number}",
            role="engine",
            kind="fenced",
            address=f"10.0.{number // 250}.{number % 250}:9000",
            availability_zone=f"zone-{number % 12}",
            items=rng.sample(names, min(ITEMS_PER_ENGINE, items)),
            slots=64,
        )
        for number in range(count)
    ]


def measure_choice(engines: int, items: int) -> float:
    """Return the processor seconds of choosing one upstream."""
    router = Router(availability_zone="zone-0", seed=1)
    router.replace_upstreams(_make_states(engines, items), 0.0)
    name = next(iter(router.upstreams.values())).items[0]

    def choose() -> None:
        for _ in range(CHOICE_RUNS):
            router.choose(router.holders(name), 0.5, item=name)

    return _measure_cpu_s(choose, 1) / CHOICE_RUNS


def measure_update(engines: int, items: int) -> float:
    """Return the processor seconds in which an entry applies one update of five upstreams."""
    states = _make_states(engines, items)
    router = Router(availability_zone="zone-0", seed=1)
    router.replace_upstreams(states, 0.0)
    return _measure_cpu_s(lambda: router.update_upstreams(states[:5], (), 1.0), UPDATE_RUNS)


def measure_state_bytes(engines: int, items: int) -> float:
    """Return the bytes of memory of decoded upstream states, as control keeps them."""
    frames = encode_message(
        PeerDigest(vm="v", availability_zone="z", upstreams=_make_states(engines, items))
    )
    tracemalloc.start()
    kept = decode_message(frames).ok
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)
