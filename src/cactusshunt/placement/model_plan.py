"""Decides which model each engine loads or unloads next.

Engines' memory serves as a cache of models; the rate of loads into it is limited. Covers the load
patterns "demand moves to other models", "rare models are requested at once" and "engines that held
models are lost".
"""

from __future__ import annotations

from bisect import insort
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.placement.engine_ledger import USUAL_UNLOAD_S
from cactusshunt.placement.fleet_state import ModelPlan
from cactusshunt.placement.fleet_state import PlannedArrival
from cactusshunt.placement.fleet_state import PlannedOrder
from cactusshunt.placement.fleet_state import UnplacedReason
from cactusshunt.placement.fleet_state import WeightSource
from cactusshunt.placement.late_fraction import ReplicaTally
from cactusshunt.placement.replica_value import STARTUP_DECAY_S
from cactusshunt.placement.replica_value import ReplicaValues

if TYPE_CHECKING:
    from cactusshunt.placement.fleet_state import EngineState
    from cactusshunt.placement.fleet_state import FleetState

# Saved requests are those that a load keeps from being late or lost.
MIN_SAVED_PER_S = 0.2  # requests a second that any load must save
SPARE_MODEL_SLOT_ENGINE_FRACTION = 0.22  # of engines, kept with free memory for a model
MAX_SPARE_MODEL_SLOT_LOST_PER_S = 0.08  # requests a second that freeing such a slot may lose
MIN_SAVED_BY_EVICTING_REPLICA_PER_S = 0.6  # for a further replica that needs an unload
MIN_SAVED_BY_WEIGHT_STORE_REPLICA_PER_S = 1.2  # for a further replica from the weight store
CANDIDATES_PER_REPLICA = 12  # engines compared, besides those that have the weights at hand
MAX_EXAMINED_ENGINES = 36  # for one replica; keeps the time of a plan within milliseconds
MAX_PLANNED_WAIT_S = 8.0  # until an engine is free; callers of loads after it have left
WEIGHT_STORE_LOAD_COST_S = 1.0  # added cost, because all engines share the store's load rate
UNSERVED_REQUEST_VALUE_PER_S = 0.25  # priority of an absent model for each unserved request
MAX_UNSERVED_VALUE_PER_S = 3.0  # about what a further replica of a busy model saves
UNCONFIRMED_ORDER_WINDOW_S = 3.0  # in which an engine may leave more orders unanswered after one
UNCONFIRMED_ORDER_COST_S = 1.0  # added cost of an engine in that window: a few order timeouts
LIMITED_ENGINE_COST_S = 4.0  # added cost of an engine with a request limit: about one more load
SAME_ZONE_COST_S = 0.6  # spreads replicas over zones, because bytes between zones are expensive
ADAPTER_DELAY_COST_FACTOR = 1.0  # per second of load time, for each adapter request a second
BLOCKED_ADAPTER_FRACTION = 0.3  # fraction of adapter requests that a model load blocks


@dataclass(frozen=True, kw_only=True)
class _ReplicaRequest:
    """A model that needs a further replica.

    ``saved_per_s`` is the requests a second that the replica would keep from being late or lost;
    ``priority`` orders requests; for an absent model it also grows with the unserved requests.
    ``absent`` is set if no engine holds or loads the model, ``scarce`` also if only engines with a
    request limit do.
    """

    model: str
    saved_per_s: float
    priority: float
    absent: bool
    scarce: bool


def plan_models(state: FleetState) -> ModelPlan:
    """Return the next orders, at most one for each engine that is not busy, and later loads."""
    planner = _Planner(state)
    planner.order_reserved_loads()
    for request in planner.find_replica_requests():
        planner.place_replica(request)
    planner.keep_spare_model_slots()
    return ModelPlan(orders=planner.orders, arrivals=planner.arrivals, unplaced=planner.unplaced)


@dataclass(frozen=True, kw_only=True)
class _LoadCandidate:
    """A possible load on one engine.

    ``model_to_unload`` names the model to unload first, if any. ``cost_s`` compares candidates;
    ``duration_s`` is the expected time until the model is ready, ``weight_store_wait_s`` the part
    of it that is spent waiting for the load rate of the weight store.
    """

    engine: EngineState
    model_to_unload: str | None
    cost_s: float
    duration_s: float
    weight_store_wait_s: float


class _Planner:
    """Collects orders and tracks the fleet as it will be after them.

    ``expected`` counts the replicas that are ready or are being loaded; ``arrivals`` are loads to
    be ordered once their engines are free. ``_available_in_s`` is when an engine accepts an order,
    ``None`` if that is unknown; engines whose freed memory is reserved are left out.
    """

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self.orders: list[PlannedOrder] = []
        self._engines = {engine.name: engine for engine in state.engines if not engine.busy}
        self.arrivals: list[PlannedArrival] = []
        self.unplaced: dict[str, UnplacedReason] = {}
        self._available_in_s = {
            engine.name: engine.free_in_s if engine.busy else 0.0
            for engine in state.engines
            if engine.reserved_for is None
        }
        self._weight_store_loads_left = state.weight_store_loads_allowed
        self._replica_values = ReplicaValues(state)
        self.expected = ReplicaTally()
        self._model_zones: set[tuple[str, str]] = set()
        self._held_without_limit: set[str] = set()
        self._free_after_loads_mb: dict[str, float] = {}
        self._engines_by_name = {engine.name: engine for engine in state.engines}
        self._ranked_engines: list[tuple[float, str]] = []
        self._rank_keys: dict[str, float] = {}
        facts = state.facts.values()
        self._usual_load_s = max((fact.load_s[WeightSource.STORE] for fact in facts), default=0.0)
        self._usual_size_mb = max((fact.size_mb for fact in facts), default=0.0)
        self._engines_with_weights: defaultdict[str, set[str]] = defaultdict(set)
        for engine in state.engines:
            for model in engine.in_memory | engine.on_disk:
                self._engines_with_weights[model].add(engine.name)
        for engine in state.engines:
            under_way = {*engine.coming}
            if engine.reserved_for is not None:
                under_way.add(engine.reserved_for)
            self._replica_values.serving.add(engine, *(engine.models.keys() - under_way))
            held = engine.models.keys() | under_way
            self.expected.add(engine, *held)
            self._model_zones.update((model, engine.availability_zone) for model in held)
            if not engine.limited:
                self._held_without_limit |= held

    def find_replica_requests(self) -> list[_ReplicaRequest]:
        """Return the models that need a further replica, those with the highest priority first."""
        needed = []
        for model, demand in self._state.demand.items():
            held = self.expected.count[model]
            if model not in self._state.facts or (
                not held and not self._replica_values.is_in_demand(demand)
            ):
                continue
            effective = self.expected.effective_count[model]
            saved_per_s = self._replica_values.estimate_late_per_s(
                model, effective
            ) - self._replica_values.estimate_late_per_s(model, effective + 1.0)
            if saved_per_s > MIN_SAVED_PER_S:
                # Refused callers leave no waiting request, so that a rare model would start anew.
                unserved_value_per_s = min(
                    MAX_UNSERVED_VALUE_PER_S,
                    UNSERVED_REQUEST_VALUE_PER_S * demand.unserved_requests,
                )
                needed.append(
                    _ReplicaRequest(
                        model=model,
                        saved_per_s=saved_per_s,
                        priority=saved_per_s + (0.0 if held else unserved_value_per_s),
                        absent=held == 0,
                        scarce=model not in self._held_without_limit,
                    )
                )
        return sorted(needed, key=lambda found: -found.priority)

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
                self._reserve_weight_store_load(engine)
                continue
            fact = self._state.facts.get(model) if model is not None else None
            if model is None or fact is None or model in engine.models:
                continue
            if self._free_mb(engine) < fact.size_mb:
                continue
            if engine.source_of(model) is WeightSource.STORE and self._weight_store_loads_left <= 0:
                del self._engines[engine.name]
                continue
            self.expected.remove(engine, model)
            self._order_load(engine, model, None, "memory was freed")

    def keep_spare_model_slots(self) -> None:
        """Unload the model least likely to be requested, so that a rare model can load at once.

        Models requested within the last ``USUAL_STREAM_S`` are skipped: their requests may still
        run, and the engine would accept no other order until they end.
        """
        if self._state.observed_s <= STARTUP_DECAY_S:
            return
        size = max((fact.size_mb for fact in self._state.facts.values()), default=0.0)
        free = [engine for engine in self._state.engines if self._free_mb(engine) >= size]
        wanted = round(len(self._state.engines) * SPARE_MODEL_SLOT_ENGINE_FRACTION)
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
                lost_per_s, model_to_unload = min(
                    (self._replica_values.estimate_lost_per_s(m, engine.speed), m) for m in idle
                )
                options.append((lost_per_s, engine.name, model_to_unload))
        if options and min(options)[0] < MAX_SPARE_MODEL_SLOT_LOST_PER_S:
            _, name, model_to_unload = min(options)
            self._unload(self._engines[name], model_to_unload, None, "spare slot")

    def _free_mb(self, engine: EngineState) -> float:
        return engine.capacity_mb - engine.used_mb(self._state.facts)

    def _unload(
        self, engine: EngineState, model_to_unload: str, replacement: str | None, reason: str
    ) -> None:
        """Order an unload, which frees memory for ``replacement`` if that is given."""
        del self._engines[engine.name]
        self.expected.remove(engine, model_to_unload)
        self._replica_values.remove_replica(engine, model_to_unload)
        self.orders.append(
            PlannedOrder(
                engine=engine.name,
                load=False,
                model=model_to_unload,
                expected=engine.sequence,
                frees_memory_for=replacement,
                source=engine.source_of(replacement) if replacement else WeightSource.MEMORY,
                reason=reason,
            )
        )

    def _reserve_weight_store_load(self, engine: EngineState) -> None:
        """Reserve a load from the weight store for an engine that is still freeing memory."""
        model = str(engine.reserved_for)
        if model not in engine.models and engine.source_of(model) is WeightSource.STORE:
            self._weight_store_loads_left -= 1

    def place_replica(self, needed: _ReplicaRequest) -> None:
        """Choose the engine with the least cost; order the load now or record it for later.

        Waiting for an engine that has the weights in memory or on disk may cost less than a load
        from the weight store, during which another engine accepts no orders. As the reason of an
        order, "absent" means that the model had no replica, "busy" that it had too few.
        """
        waits_s = [wait_s for wait_s in self._available_in_s.values() if wait_s is not None]
        if not waits_s:
            self.record_unplaced(needed, UnplacedReason.NO_ENGINE_TAKES_ORDERS)
            return
        if min(waits_s) > MAX_PLANNED_WAIT_S:
            load_s = self._state.facts[needed.model].load_s[WeightSource.STORE]
            self._plan_later(needed, min(waits_s) + load_s)
            return
        candidates = self._find_candidates(needed)
        if not candidates:
            self.record_unplaced(needed, UnplacedReason.EVICTION_COSTS_MORE)
            return
        best = min(candidates, key=lambda candidate: candidate.cost_s)
        wait_s = self._available_in_s[best.engine.name] or 0.0
        if best.engine.name in self._engines and not best.weight_store_wait_s:
            self._order_load(
                best.engine,
                needed.model,
                best.model_to_unload,
                "absent" if needed.absent else "busy",
            )
        else:
            self._plan_later(needed, wait_s + best.duration_s)
        self._available_in_s[best.engine.name] = wait_s + best.duration_s
        self._rank_engine(best.engine)

    def _plan_later(self, needed: _ReplicaRequest, ready_in_s: float) -> None:
        """Record when a model that no engine holds should be ready."""
        self.record_unplaced(needed, UnplacedReason.LATER)
        if needed.absent:
            self.arrivals.append(PlannedArrival(item=needed.model, ready_in_s=ready_in_s))

    def _find_candidates(self, needed: _ReplicaRequest) -> list[_LoadCandidate]:
        """Return loads on the engines that are cheapest for any model or have its weights."""
        if not self._ranked_engines:
            for engine in self._state.engines:
                self._rank_engine(engine)
        names = [name for _, name in self._ranked_engines[:MAX_EXAMINED_ENGINES]]
        with_weights = self._engines_with_weights.get(needed.model, set())
        found = []
        for name in [*sorted(with_weights), *(name for name in names if name not in with_weights)]:
            candidate = self._make_load_candidate(self._engines_by_name[name], needed)
            if candidate is not None:
                found.append(candidate)
            if len(found) >= CANDIDATES_PER_REPLICA + len(with_weights):
                break
        return found

    def _rank_engine(self, engine: EngineState) -> None:
        """Sort an engine by the part of its cost that doesn't depend on the model to be loaded."""
        known = self._rank_keys.pop(engine.name, None)
        if known is not None:
            self._ranked_engines.remove((known, engine.name))
        wait_s = self._available_in_s.get(engine.name)
        if wait_s is None:
            return
        load, adapter_rate = self._replica_values.estimate_engine_work(engine)
        cost_s = wait_s + load + ADAPTER_DELAY_COST_FACTOR * adapter_rate * self._usual_load_s
        if engine.limited:
            cost_s += LIMITED_ENGINE_COST_S
        if engine.since_unanswered_s < UNCONFIRMED_ORDER_WINDOW_S:
            cost_s += UNCONFIRMED_ORDER_COST_S
        if self._find_free_after_loads_mb(engine) < self._usual_size_mb:
            eviction_candidate = self._replica_values.find_eviction_candidate(engine)
            cost_s += eviction_candidate.total_cost_s if eviction_candidate is not None else 0.0
        self._rank_keys[engine.name] = cost_s
        insort(self._ranked_engines, (cost_s, engine.name))

    def record_unplaced(self, needed: _ReplicaRequest, reason: UnplacedReason) -> None:
        """Record why no load was ordered, if no engine holds the model."""
        if needed.absent:
            self.unplaced[needed.model] = reason

    def _make_load_candidate(
        self, engine: EngineState, needed: _ReplicaRequest
    ) -> _LoadCandidate | None:
        """Return a load on this engine; ``None`` if it is impossible or gains too little."""
        wait_s = self._available_in_s.get(engine.name)
        if wait_s is None or needed.model in engine.models or needed.model in engine.coming:
            return None
        fact = self._state.facts[needed.model]
        source = engine.source_of(needed.model)
        load, adapter_rate = self._replica_values.estimate_engine_work(engine)
        duration_s = fact.load_s[source]
        # A prefill load of 1, an engine's whole time, costs as much as one second.
        cost_s = wait_s + duration_s * (1.0 + ADAPTER_DELAY_COST_FACTOR * adapter_rate) + load
        if engine.limited:
            cost_s += LIMITED_ENGINE_COST_S
        if (needed.model, engine.availability_zone) in self._model_zones:
            cost_s += SAME_ZONE_COST_S
        if engine.since_unanswered_s < UNCONFIRMED_ORDER_WINDOW_S:
            cost_s += UNCONFIRMED_ORDER_COST_S
        weight_store_wait_s = 0.0
        if source is WeightSource.STORE:
            if not needed.scarce and needed.saved_per_s < MIN_SAVED_BY_WEIGHT_STORE_REPLICA_PER_S:
                return None
            cost_s += WEIGHT_STORE_LOAD_COST_S
            if self._weight_store_loads_left <= 0:
                weight_store_wait_s = (1.0 - self._weight_store_loads_left) / max(
                    0.01, self._state.weight_store_loads_per_s
                )
        eviction_candidate = None
        if self._find_free_after_loads_mb(engine) < fact.size_mb:
            eviction_candidate = self._replica_values.find_eviction_candidate(engine)
            if eviction_candidate is None:
                return None
            # One blocked request counts as much as one lost request a second.
            blocked_requests = BLOCKED_ADAPTER_FRACTION * duration_s * adapter_rate
            if needed.saved_per_s < eviction_candidate.lost_requests_per_s + blocked_requests + (
                MIN_SAVED_PER_S if needed.scarce else MIN_SAVED_BY_EVICTING_REPLICA_PER_S
            ):
                return None
            duration_s += eviction_candidate.unload_s
            cost_s += eviction_candidate.total_cost_s
        return _LoadCandidate(
            engine=engine,
            model_to_unload=eviction_candidate.model if eviction_candidate is not None else None,
            cost_s=cost_s + weight_store_wait_s,
            duration_s=duration_s + weight_store_wait_s,
            weight_store_wait_s=weight_store_wait_s,
        )

    def _find_free_after_loads_mb(self, engine: EngineState) -> float:
        """Return the MB that stay free after the loads under way."""
        found = self._free_after_loads_mb.get(engine.name)
        if found is None:
            facts = self._state.facts
            coming_mb = sum(
                facts[model].size_mb if model in facts else engine.capacity_mb
                for model in engine.coming - engine.models.keys()
            )
            found = self._free_mb(engine) - coming_mb
            self._free_after_loads_mb[engine.name] = found
        return found

    def _order_load(
        self, engine: EngineState, model: str, model_to_unload: str | None, reason: str
    ) -> None:
        """Order a load, or the unload of ``model_to_unload`` that has to come before it."""
        self.expected.add(engine, model)
        source = engine.source_of(model)
        if source is WeightSource.STORE:
            self._weight_store_loads_left -= 1
        if model_to_unload is not None:
            self._unload(engine, model_to_unload, model, f"{reason}: {model}")
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
