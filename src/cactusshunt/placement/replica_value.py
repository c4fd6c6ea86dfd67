"""Estimates the value of replicas: the requests a second that would be late or lost without them.

Covers the load pattern "model slots are few, and demand for models is uneven and moves".
"""

from __future__ import annotations

import math

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.placement.engine_ledger import USUAL_UNLOAD_S
from cactusshunt.placement.fleet_state import Demand
from cactusshunt.placement.late_fraction import ReplicaTally
from cactusshunt.placement.late_fraction import estimate_late_fraction

if TYPE_CHECKING:
    from cactusshunt.placement.fleet_state import EngineState
    from cactusshunt.placement.fleet_state import FleetState

TOKENS_PER_REQUEST = 2_000  # prompt tokens of a usual request
UNREQUESTED_MODEL_VALUE_PER_S = 0.6  # expected requests for a loaded model without any so far
UNREQUESTED_MODEL_DECAY_S = 60.0  # time constant of UNREQUESTED_MODEL_VALUE_PER_S
STARTUP_VALUE_PER_S = 1.0  # added to it in the first seconds after the first demand report
STARTUP_DECAY_S = 4.0  # time constant of STARTUP_VALUE_PER_S
IDLE_MODEL_VALUE_PER_S = 0.02  # expected requests for a model whose callers seem to have stopped
MODEL_IN_DEMAND_S = 1.5  # a model counts as in demand for this long after a request
LAST_REPLICA_VALUE_PER_S = 0.6  # added to the last replica of a model in demand
USUAL_QUEUE_S = 0.3  # time that a request usually spends in an engine's queue
RECENT_LOAD_S = 3.0  # a model that was loaded within this time was probably needed
RECENT_LOAD_VALUE_PER_S = 0.6  # added to the value of such a replica
LOST_REQUEST_RATE_COST_S = 4.0  # cost of one lost request a second, in seconds of load time
USUAL_STREAM_S = 2.0  # the unload of a model waits for the end of its streams


@dataclass(frozen=True, kw_only=True)
class EvictionCandidate:
    """A model that could be unloaded to free memory, and the cost of its unload.

    ``lost_requests_per_s`` and ``unload_s`` are the parts of the cost; ``total_cost_s`` is their
    sum in seconds of load time.
    """

    model: str
    lost_requests_per_s: float
    unload_s: float
    total_cost_s: float


class ReplicaValues:
    """Estimates the values of replicas in one state of the fleet.

    ``serving`` counts the replicas that serve requests now.
    """

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self.serving = ReplicaTally()
        self._candidates: dict[str, EvictionCandidate | None] = {}
        self._engine_work: dict[str, tuple[float, float]] = {}
        self._adapter_rates: Counter[str] = Counter()
        for (model, _), demand in state.adapter_demand.items():
            self._adapter_rates[model] += demand.usual_requests_per_s  # type: ignore[assignment]

    def remove_replica(self, engine: EngineState, unloaded_model: str) -> None:
        """Stop counting an unloaded replica; later estimates for its model's engines are new."""
        self.serving.remove(engine, unloaded_model)
        for other in self._state.engines:
            if unloaded_model in other.models:
                self._candidates.pop(other.name, None)
                self._engine_work.pop(other.name, None)

    def is_in_demand(self, demand: Demand) -> bool:
        """Return whether requests for a model wait or came recently."""
        return demand.waiting > 0 or self._state.now - demand.last_requested_at < MODEL_IN_DEMAND_S

    def _estimate_prefill_load(self, model: str) -> float:
        """Return a model's prefill work in units of one usual engine's prefill time."""
        demand = self._state.demand.get(model, Demand())
        return demand.tokens_per_ms / self._state.tokens_per_ms

    def _estimate_engine_prefill_load(self, engine: EngineState) -> float:
        """Return the fraction of an engine's prefill time that its models take."""
        return sum(
            self._estimate_prefill_load(model) / max(1, self.serving.count[model])
            for model in engine.models
        )

    def find_eviction_candidate(self, engine: EngineState) -> EvictionCandidate | None:
        """Return the model whose unload costs least on an engine, ``None`` if it holds none.

        The result is cached until ``remove_replica`` is called for one of the engine's models.
        """
        if engine.name not in self._candidates:
            found = [self._estimate_unload_cost(engine, model) for model in engine.models]
            self._candidates[engine.name] = min(found, key=lambda v: v.total_cost_s, default=None)
        return self._candidates[engine.name]

    def _estimate_unload_cost(self, engine: EngineState, model: str) -> EvictionCandidate:
        lost_per_s = self.estimate_lost_per_s(
            model, engine.speed
        ) + self._estimate_extra_lost_per_s(engine, model)
        unload_s = self.estimate_unload_s(model)
        return EvictionCandidate(
            model=model,
            lost_requests_per_s=lost_per_s,
            unload_s=unload_s,
            total_cost_s=LOST_REQUEST_RATE_COST_S * lost_per_s + unload_s,
        )

    def estimate_engine_work(self, engine: EngineState) -> tuple[float, float]:
        """Return an engine's prefill load (a fraction) and its adapters' requests a second.

        The result is cached until ``remove_replica`` is called for one of the engine's models.
        """
        found = self._engine_work.get(engine.name)
        if found is None:
            found = (
                self._estimate_engine_prefill_load(engine),
                self._estimate_adapter_rate(engine),
            )
            self._engine_work[engine.name] = found
        return found

    def _estimate_adapter_rate(self, engine: EngineState) -> float:
        """Return an engine's part of the requests a second for adapters of its models.

        These requests are held up while the engine loads a model, because it accepts no order for
        an adapter then.
        """
        return sum(
            self._adapter_rates.get(model, 0.0) / max(1, self.serving.count[model])
            for model in engine.models
        )

    def estimate_late_per_s(self, model: str, replicas: float) -> float:
        """Return the requests a second for a model that are late or lost with so many replicas."""
        demand = self._state.demand.get(model, Demand())
        rate = demand.tokens_per_ms * 1000.0 / TOKENS_PER_REQUEST
        if replicas <= 0 and self.is_in_demand(demand):
            rate += max(1, demand.waiting)
        return rate * estimate_late_fraction(self._estimate_prefill_load(model), replicas)

    def estimate_lost_per_s(self, model: str, speed: float) -> float:
        """Return the requests a second that are lost by unloading a replica.

        ``speed`` is the relative speed of the replica's engine.
        """
        serving = self.serving.count[model]
        effective = self.serving.effective_count[model]
        left = max(0.0, effective - speed) if serving > 1 else 0.0
        lost_per_s = self.estimate_late_per_s(model, left) - self.estimate_late_per_s(
            model, effective
        )
        demand = self._state.demand.get(model, Demand())
        if not demand.ever_requested:
            return lost_per_s + self._estimate_unrequested_value()
        if serving > 1:
            return lost_per_s
        idle_s = max(0.0, self._state.now - demand.last_requested_at)
        if idle_s < MODEL_IN_DEMAND_S:
            return lost_per_s + LAST_REPLICA_VALUE_PER_S
        # The probability that requests at this usual rate pause for so long by chance.
        still_requested_probability = math.exp(-demand.usual_requests_per_s * idle_s)
        return (
            lost_per_s
            + IDLE_MODEL_VALUE_PER_S
            + demand.usual_requests_per_s * still_requested_probability
        )

    def _estimate_extra_lost_per_s(self, engine: EngineState, model: str) -> float:
        """Return what unloading a replica costs besides its later requests, in requests a second.

        Requests in its queue are refused, and a replica that was loaded recently was needed.
        """
        demand = self._state.demand.get(model, Demand())
        rate = demand.tokens_per_ms * 1000.0 / TOKENS_PER_REQUEST
        queued = USUAL_QUEUE_S * rate / max(1, self.serving.count[model])
        recent = self._state.now - engine.loaded_at.get(model, -1e9) < RECENT_LOAD_S
        return queued + (RECENT_LOAD_VALUE_PER_S if recent else 0.0)

    def _estimate_unrequested_value(self) -> float:
        """Return the value of a replica without any request yet, in requests a second."""
        observed_s = self._state.observed_s
        startup_value = STARTUP_VALUE_PER_S * math.exp(-observed_s / STARTUP_DECAY_S)
        return (
            UNREQUESTED_MODEL_VALUE_PER_S * math.exp(-observed_s / UNREQUESTED_MODEL_DECAY_S)
            + startup_value
        )

    def estimate_unload_s(self, model: str) -> float:
        """Return the time that unloading a model takes, with the wait for its last requests."""
        demand = self._state.demand.get(model, Demand())
        return USUAL_UNLOAD_S + max(
            0.0, USUAL_STREAM_S - (self._state.now - demand.last_requested_at)
        )
