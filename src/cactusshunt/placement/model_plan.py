"""Decides which model each engine loads or unloads next.

Engines' memory serves as a cache of models whose fill rate is limited. Covers the load patterns
"demand moves to other models", "rare models are requested at once" and "engines that held models
are lost".
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.placement.engine_ledger import USUAL_UNLOAD_S
from cactusshunt.placement.fleet_state import ModelPlan
from cactusshunt.placement.fleet_state import PlannedArrival
from cactusshunt.placement.fleet_state import PlannedOrder
from cactusshunt.placement.fleet_state import WeightSource
from cactusshunt.placement.late_fraction import ReplicaTally
from cactusshunt.placement.replica_value import STARTUP_DECAY_S
from cactusshunt.placement.replica_value import ReplicaValues

if TYPE_CHECKING:
    from cactusshunt.placement.fleet_state import EngineState
    from cactusshunt.placement.fleet_state import FleetState

MIN_GAIN_PER_S = 0.2  # requests a second that a load must keep from being late or lost
SPARE_SLOT_ENGINE_FRACTION = 0.22  # of engines that should have a free slot for a rare model
MAX_SPARE_SLOT_LOSS_PER_S = 0.08  # requests a second that freeing a spare slot may cost
MIN_GROWTH_GAIN_PER_S = 0.6  # like MIN_GAIN_PER_S, for a further replica that needs an unload
MIN_STORE_GROWTH_GAIN_PER_S = 1.2  # the same for a further replica from the weight store
MAX_REPLICA_REQUESTS = 32  # handled in one plan, largest gain first; a plan takes milliseconds
STORE_LOAD_COST_S = 1.0  # loads from the weight store are limited and shared by all engines
UNCONFIRMED_S = 3.0  # for this long after an unanswered order, more may stay unanswered
UNCONFIRMED_COST_S = 1.0  # as long as a few time-outs of orders
SAME_ZONE_COST_S = 0.6  # replicas are spread over zones, since bytes between zones are expensive
ADAPTER_HOST_COST_S = 1.0  # per second of load time and held-up adapter request a second
BLOCKED_ADAPTER_FRACTION = 0.3  # of adapter requests: their adapter is missing during a load


@dataclass(frozen=True, kw_only=True)
class _ReplicaRequest:
    """A model that needs a further replica.

    ``gain_per_s`` is the requests a second that it would keep from being late or lost; ``absent``
    tells that no engine holds or loads the model.
    """

    model: str
    gain_per_s: float
    absent: bool


def plan_models(state: FleetState) -> ModelPlan:
    """Return the next orders, at most one for each engine that is not busy, and later loads."""
    planner = _Planner(state)
    planner.order_reserved_loads()
    for needed in planner.find_replica_requests()[:MAX_REPLICA_REQUESTS]:
        planner.place_replica(needed)
    planner.keep_spare_slots()
    return ModelPlan(orders=planner.orders, arrivals=planner.arrivals)


@dataclass(frozen=True, kw_only=True)
class _LoadCandidate:
    """A possible load on one engine.

    ``evicted`` names the model to unload first, if any. ``cost_s`` compares candidates;
    ``duration_s`` is the expected time until the model serves, ``store_wait_s`` the part of it that
    is spent waiting for the load rate of the weight store.
    """

    engine: EngineState
    evicted: str | None
    cost_s: float
    duration_s: float
    store_wait_s: float


class _Planner:
    """Collects orders and tracks the fleet as it will be after them.

    ``expected`` counts the replicas that serve or are being loaded; ``arrivals`` are loads to be
    ordered once their engines are free. ``_available_in_s`` tells when an engine accepts an order,
    ``None`` if that is unknown; engines whose freed memory is reserved are left out.
    """

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self.orders: list[PlannedOrder] = []
        self._engines = {engine.name: engine for engine in state.engines if not engine.busy}
        self.arrivals: list[PlannedArrival] = []
        self._available_in_s = {
            engine.name: engine.free_in_s if engine.busy else 0.0
            for engine in state.engines
            if engine.reserved_for is None
        }
        self._store_loads_left = state.weight_store_loads_allowed
        self._replica_values = ReplicaValues(state)
        self.expected = ReplicaTally()
        self._model_zones: set[tuple[str, str]] = set()
        self._free_after_loads_mb: dict[str, float] = {}
        for engine in state.engines:
            under_way = {*engine.coming}
            if engine.reserved_for is not None:
                under_way.add(engine.reserved_for)
            self._replica_values.serving.add(engine, *(engine.models.keys() - under_way))
            held = engine.models.keys() | under_way
            self.expected.add(engine, *held)
            self._model_zones.update((model, engine.availability_zone) for model in held)

    def find_replica_requests(self) -> list[_ReplicaRequest]:
        """Return the models that need a further replica, those with the largest gain first."""
        needed = []
        for model, demand in self._state.demand.items():
            held = self.expected.count[model]
            if model not in self._state.facts or (
                not held and not self._replica_values.is_in_demand(demand)
            ):
                continue
            effective = self.expected.effective_count[model]
            gain_per_s = self._replica_values.estimate_late_per_s(
                model, effective
            ) - self._replica_values.estimate_late_per_s(model, effective + 1.0)
            if gain_per_s > MIN_GAIN_PER_S:
                needed.append(_ReplicaRequest(model=model, gain_per_s=gain_per_s, absent=held == 0))
        return sorted(needed, key=lambda found: -found.gain_per_s)

    def order_reserved_loads(self) -> None:
        """Order the loads for which memory was freed, the most urgent models first."""
        waiting = [engine for engine in self._state.engines if engine.reserved_for is not None]
        waiting.sort(
            key=lambda engine: -self._replica_values.estimate_late_per_s(
                str(engine.reserved_for), 0
            )
        )
        for engine in waiting:
            model = engine.reserved_for
            if engine.name not in self._engines:
                self._reserve_store_load(engine)
                continue
            fact = self._state.facts.get(model) if model is not None else None
            if model is None or fact is None or model in engine.models:
                continue
            if self._free_mb(engine) < fact.size_mb:
                continue
            if engine.source_of(model) is WeightSource.STORE and self._store_loads_left <= 0:
                del self._engines[engine.name]
                continue
            self.expected.remove(engine, model)
            self._order_load(engine, model, None, "memory was freed")

    def keep_spare_slots(self) -> None:
        """Unload the model least likely to be requested, so that a rare model can load at once.

        Models with running requests are skipped: an engine that unloads one accepts no other order
        until they end.
        """
        if self._state.observed_s <= STARTUP_DECAY_S:
            return
        size = max((fact.size_mb for fact in self._state.facts.values()), default=0.0)
        free = [engine for engine in self._state.engines if self._free_mb(engine) >= size]
        wanted = round(len(self._state.engines) * SPARE_SLOT_ENGINE_FRACTION)
        if len(free) + len(self.orders) >= wanted:
            return
        options = []
        for engine in self._engines.values():
            if engine.reserved_for is not None or engine in free:
                continue
            idle = [
                model
                for model in engine.models
                if self._replica_values.estimate_unload_s(model) <= USUAL_UNLOAD_S
            ]
            if idle:
                loss_per_s, evicted = min(
                    (self._replica_values.estimate_loss_per_s(m, engine.speed), m) for m in idle
                )
                options.append((loss_per_s, engine.name, evicted))
        if options and min(options)[0] < MAX_SPARE_SLOT_LOSS_PER_S:
            _, name, evicted = min(options)
            self._unload(self._engines[name], evicted, None, "spare slot")

    def _free_mb(self, engine: EngineState) -> float:
        return engine.capacity_mb - engine.used_mb(self._state.facts)

    def _unload(
        self, engine: EngineState, evicted: str, replacement: str | None, reason: str
    ) -> None:
        """Order an unload, which frees memory for ``replacement`` if that is given."""
        del self._engines[engine.name]
        self.expected.remove(engine, evicted)
        self._replica_values.remove_replica(engine, evicted)
        self.orders.append(
            PlannedOrder(
                engine=engine.name,
                load=False,
                model=evicted,
                expected=engine.sequence,
                frees_memory_for=replacement,
                source=engine.source_of(replacement) if replacement else WeightSource.MEMORY,
                reason=reason,
            )
        )

    def _reserve_store_load(self, engine: EngineState) -> None:
        """Reserve a load from the weight store for an engine that is still freeing memory."""
        model = str(engine.reserved_for)
        if model not in engine.models and engine.source_of(model) is WeightSource.STORE:
            self._store_loads_left -= 1

    def place_replica(self, needed: _ReplicaRequest) -> None:
        """Choose the engine with the least cost; order the load now or record it for later.

        Waiting for an engine that has the weights in memory or on disk may cost less than a load
        from the weight store, during which another engine accepts no orders.
        """
        candidates = [
            candidate
            for engine in self._state.engines
            if (candidate := self._make_load_candidate(engine, needed)) is not None
        ]
        if not candidates:
            return
        best = min(candidates, key=lambda candidate: candidate.cost_s)
        wait_s = self._available_in_s[best.engine.name] or 0.0
        if best.engine.name in self._engines and not best.store_wait_s:
            self._order_load(
                best.engine, needed.model, best.evicted, "absent" if needed.absent else "busy"
            )
        elif needed.absent:
            self.arrivals.append(
                PlannedArrival(
                    engine=best.engine.name,
                    model=needed.model,
                    serves_in_s=wait_s + best.duration_s,
                )
            )
        self._available_in_s[best.engine.name] = wait_s + best.duration_s

    def _make_load_candidate(
        self, engine: EngineState, needed: _ReplicaRequest
    ) -> _LoadCandidate | None:
        """Return a load on this engine; ``None`` if it is impossible or gains too little."""
        wait_s = self._available_in_s.get(engine.name)
        if wait_s is None or needed.model in engine.models or needed.model in engine.coming:
            return None
        fact = self._state.facts[needed.model]
        source = engine.source_of(needed.model)
        load, adapter_rate = self._replica_values.find_engine_load(engine)
        duration_s = fact.load_s[source]
        cost_s = wait_s + duration_s * (1.0 + ADAPTER_HOST_COST_S * adapter_rate) + load
        if (needed.model, engine.availability_zone) in self._model_zones:
            cost_s += SAME_ZONE_COST_S
        if engine.since_unanswered_s < UNCONFIRMED_S:
            cost_s += UNCONFIRMED_COST_S
        store_wait_s = 0.0
        if source is WeightSource.STORE:
            if not needed.absent and needed.gain_per_s < MIN_STORE_GROWTH_GAIN_PER_S:
                return None
            cost_s += STORE_LOAD_COST_S
            if self._store_loads_left <= 0:
                store_wait_s = (1.0 - self._store_loads_left) / max(
                    0.01, self._state.weight_store_loads_per_s
                )
        eviction = None
        if self._find_free_after_loads_mb(engine) < fact.size_mb:
            eviction = self._replica_values.find_eviction_candidate(engine)
            if eviction is None:
                return None
            blocked = BLOCKED_ADAPTER_FRACTION * duration_s * adapter_rate
            if needed.gain_per_s < eviction.lost_requests_per_s + blocked + (
                MIN_GAIN_PER_S if needed.absent else MIN_GROWTH_GAIN_PER_S
            ):
                return None
            duration_s += eviction.unload_s
            cost_s += eviction.total_cost_s
        return _LoadCandidate(
            engine=engine,
            evicted=eviction.model if eviction is not None else None,
            cost_s=cost_s + store_wait_s,
            duration_s=duration_s + store_wait_s,
            store_wait_s=store_wait_s,
        )

    def _find_free_after_loads_mb(self, engine: EngineState) -> float:
        """Return the MB that stay free once the loads under way have ended."""
        found = self._free_after_loads_mb.get(engine.name)
        if found is None:
            facts = self._state.facts
            arriving = sum(
                facts[model].size_mb if model in facts else engine.capacity_mb
                for model in engine.coming - engine.models.keys()
            )
            found = self._free_mb(engine) - arriving
            self._free_after_loads_mb[engine.name] = found
        return found

    def _order_load(
        self, engine: EngineState, model: str, evicted: str | None, reason: str
    ) -> None:
        """Order a load, or the unload of ``evicted`` that has to come before it."""
        self.expected.add(engine, model)
        source = engine.source_of(model)
        if source is WeightSource.STORE:
            self._store_loads_left -= 1
        if evicted is not None:
            self._unload(engine, evicted, model, f"{reason}: {model}")
            return
        del self._engines[engine.name]
        self.orders.append(
            PlannedOrder(
                engine=engine.name,
                load=True,
                model=model,
                expected=engine.sequence,
                source=source,
                reason=reason,
            )
        )
