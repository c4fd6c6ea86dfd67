"""Inputs and outputs of placement plans."""

from __future__ import annotations

import enum

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace


class WeightSource(enum.Enum):
    """The nearest place from which an engine can load a model's weights."""

    MEMORY = "memory"
    DISK = "disk"
    STORE = "store"


@dataclass(frozen=True, kw_only=True)
class ModelFacts:
    """Size of a model and of one of its adapters, load times by source, adapter names."""

    name: str
    size_mb: float
    adapter_mb: float
    load_s: dict[WeightSource, float]
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class EngineState:
    """An engine after ``sequence`` accepted orders.

    ``busy`` is set while it accepts no order for any reason; ``free_in_s`` is when that should end,
    ``None`` if that is not known. ``models`` maps loaded models to their adapters; ``coming`` are
    models that it loads or that follow an unload; ``reserved_for`` names the model for which
    another one was unloaded; ``loaded_at`` gives the monotonic-clock time of loads that this VM
    ordered; ``running`` counts requests; ``speed`` is relative to the usual engine's, which is 1.
    ``limited`` means that the engine named a request limit, which then bounds ``speed``.
    ``since_unanswered_s`` is the time since it last left an order unanswered, 1e9 for never.
    """

    name: str
    availability_zone: str
    capacity_mb: float
    adapter_slots: int
    sequence: int
    busy: bool
    models: dict[str, frozenset[str]]
    coming: frozenset[str] = frozenset()
    reserved_for: str | None = None
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    running: float = 0.0
    speed: float = 1.0
    limited: bool = False
    free_in_s: float | None = None
    since_unanswered_s: float = 1e9
    loaded_at: dict[str, float] = field(default_factory=dict)

    def source_of(self, model: str) -> WeightSource:
        """Return where a model's weights would be loaded from."""
        if model in self.in_memory:
            return WeightSource.MEMORY
        return WeightSource.DISK if model in self.on_disk else WeightSource.STORE

    def adapter_count(self) -> int:
        """Return the number of loaded adapters."""
        return sum(len(adapters) for adapters in self.models.values())

    def used_mb(self, facts: dict[str, ModelFacts]) -> float:
        """Return the MB taken by models and adapters; an unknown model fills the engine."""
        total = 0.0
        for model, adapters in self.models.items():
            known = facts.get(model)
            if known is None:
                return self.capacity_mb
            total += known.size_mb + known.adapter_mb * len(adapters)
        return total


@dataclass(frozen=True, kw_only=True)
class Demand:
    """Demand of all VMs' callers for one item: prompt tokens, waiting requests, last request.

    ``tokens_per_ms`` is the present rate of prompt tokens, ``usual_requests_per_s`` the rate over
    the tens of seconds before the last request; ``last_requested_at`` is -1e9 for never.
    ``unserved_requests`` were counted since an engine last held the item.
    """

    tokens_per_ms: float = 0.0
    waiting: int = 0
    last_requested_at: float = -1e9
    usual_requests_per_s: float = 0.0
    unserved_requests: int = 0

    @property
    def ever_requested(self) -> bool:
        """Return whether any request for the item is known."""
        return self.last_requested_at > -1e9


@dataclass(frozen=True, kw_only=True)
class FleetState:
    """Everything that a placement plan depends on.

    ``observed_s`` is the time since the first report of demand; ``weight_store_loads_allowed`` is
    how many loads from the weight store may begin now; ``tokens_per_ms`` is the prefill rate of a
    usual engine.
    """

    now: float
    observed_s: float = 1e9
    engines: tuple[EngineState, ...]
    facts: dict[str, ModelFacts]
    demand: dict[str, Demand] = field(default_factory=dict)
    adapter_demand: dict[tuple[str, str], Demand] = field(default_factory=dict)
    weight_store_loads_allowed: int = 0
    weight_store_loads_per_s: float = 1.0
    tokens_per_ms: float = 20.0


def mark_ordered(state: FleetState, engines: frozenset[str]) -> FleetState:
    """Return the state in which the given engines are about to carry out a short order."""
    if not engines:
        return state
    return replace(
        state,
        engines=tuple(
            replace(engine, busy=True, free_in_s=0.0) if engine.name in engines else engine
            for engine in state.engines
        ),
    )


@dataclass(frozen=True, kw_only=True)
class PlannedOrder:
    """One order for one engine, valid only while the engine has accepted ``expected`` orders.

    ``frees_memory_for`` names the model, or ``model/adapter``, whose load is to follow an unload.
    """

    engine: str
    load: bool
    model: str
    adapter: str = ""
    expected: int
    source: WeightSource = WeightSource.MEMORY
    frees_memory_for: str | None = None
    reason: str = ""

    @property
    def item(self) -> str:
        """Return ``model`` or ``model/adapter``."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model

    @property
    def loads_from_weight_store(self) -> bool:
        """Return whether the order counts against the weight store's load rate."""
        return self.load and not self.adapter and self.source is WeightSource.STORE


class UnplacedReason(enum.Enum):
    """Why a plan contains no load of a model or adapter that is in demand and that none holds."""

    EVICTION_COSTS_MORE = "eviction costs more"
    NO_ENGINE_TAKES_ORDERS = "no engine takes orders"
    LATER = "engine or weight store busy"
    MODEL_NOT_LOADED = "model not loaded"
    MODEL_ENGINES_BUSY = "engines of the model busy"
    ADAPTER_SLOTS_IN_USE = "adapter slots in use"


@dataclass(frozen=True, kw_only=True)
class PlannedArrival:
    """A load to be ordered once an engine is free; ``ready_in_s`` is when it should be done."""

    item: str
    ready_in_s: float


@dataclass(frozen=True, kw_only=True)
class ModelPlan:
    """Orders to be sent now, loads to be ordered later, and models in demand with neither."""

    orders: list[PlannedOrder]
    arrivals: list[PlannedArrival]
    unplaced: dict[str, UnplacedReason] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class AdapterPlan:
    """Orders for adapters: to be sent now, to be sent later, and why others are not placed.

    Keys of ``unplaced`` are ``model/adapter``.
    """

    orders: list[PlannedOrder]
    arrivals: list[PlannedArrival] = field(default_factory=list)
    unplaced: dict[str, UnplacedReason] = field(default_factory=dict)
