"""What replicas of models are worth: requests a second that come late or not at all without them.

Answers the load pattern "places for models are few, and demand for them is uneven and moves".
"""

from __future__ import annotations

import math

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.placement.engine_ledger import UNLOAD_S
from cactusshunt.placement.fleet_state import Demand
from cactusshunt.placement.late_fraction import ReplicaTally
from cactusshunt.placement.late_fraction import strain

if TYPE_CHECKING:
    from cactusshunt.placement.fleet_state import EngineState
    from cactusshunt.placement.fleet_state import FleetState

TOKENS_PER_REQUEST = 2_000  # a usual prompt, to turn tokens into requests
UNASKED_PER_S = 0.6  # requests expected of a model that lies here and was not asked for yet
UNASKED_S = 60.0  # time constant in which its place loses that worth
NEWCOMER_PER_S = 1.0  # more of the same while demand has been watched for moments only
NEWCOMER_S = 4.0
SILENT_PER_S = 0.02  # requests expected of a model whose callers seem to be gone
KEEP_S = 1.5  # a last replica asked for within this time is worth more than an idle one
KEEP_VALUE = 0.6
QUEUED_S = 0.3  # usual time of a request in an engine's queue
FRESH_S = 3.0  # after a load, in which its model is not dropped lightly
FRESH_VALUE = 0.6
VICTIM_S = 4.0  # seconds of load time that one request a second is worth
RUN_S = 2.0  # a usual stream, for the end of which the unload of its model waits


@dataclass(frozen=True, kw_only=True)
class Victim:
    """A model that could make room: the requests a second and the time that its drop costs.

    ``price_s`` puts both together in seconds of load time.
    """

    model: str
    loss: float
    unload_s: float
    price_s: float


class ModelWorth:
    """Worth of replicas in one state of the fleet; ``present`` counts replicas that serve."""

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self.present = ReplicaTally()
        self._victims: dict[str, Victim | None] = {}
        self._busyness: dict[str, tuple[float, float]] = {}
        self._adapter_rates: Counter[str] = Counter()
        for (model, _), demand in state.adapter_demand.items():
            self._adapter_rates[model] += demand.usual_per_s  # type: ignore[assignment]

    def drop(self, engine: EngineState, victim: str) -> None:
        """Count a replica no more."""
        self.present.remove(engine, victim)
        for other in self._state.engines:
            if victim in other.models:
                self._victims.pop(other.name, None)
                self._busyness.pop(other.name, None)

    def is_asked(self, demand: Demand) -> bool:
        """Tell whether a model is asked for just now."""
        return demand.waiting > 0 or self._state.now - demand.last_requested_at < KEEP_S

    def _load(self, model: str) -> float:
        demand = self._state.demand.get(model, Demand())
        return demand.tokens_per_ms / self._state.tokens_per_ms

    def _engine_load(self, engine: EngineState) -> float:
        """Return the share of an engine's prefill time that its models take."""
        return sum(self._load(model) / max(1, self.present.count[model]) for model in engine.models)

    def find_victim(self, engine: EngineState) -> Victim | None:
        """Return the model whose drop costs least here; kept until a replica goes."""
        if engine.name not in self._victims:
            found = [self._price_drop(engine, model) for model in engine.models]
            self._victims[engine.name] = min(found, key=lambda v: v.price_s, default=None)
        return self._victims[engine.name]

    def _price_drop(self, engine: EngineState, model: str) -> Victim:
        loss = self.loss(model, engine.speed) + self._disturbance(engine, model)
        unload_s = self.unload_s(model)
        return Victim(model=model, loss=loss, unload_s=unload_s, price_s=VICTIM_S * loss + unload_s)

    def find_busyness(self, engine: EngineState) -> tuple[float, float]:
        """Return an engine's load and its adapters' request rate; kept until a replica goes."""
        found = self._busyness.get(engine.name)
        if found is None:
            found = (self._engine_load(engine), self._adapter_rate(engine))
            self._busyness[engine.name] = found
        return found

    def _adapter_rate(self, engine: EngineState) -> float:
        """Return the requests a second for adapters that an engine's models take part in.

        An engine takes no order for an adapter while it loads a model.
        """
        return sum(
            self._adapter_rates.get(model, 0.0) / max(1, self.present.count[model])
            for model in engine.models
        )

    def harm(self, model: str, replicas: float) -> float:
        """Return the requests a second that come late or not at all with so many replicas."""
        demand = self._state.demand.get(model, Demand())
        rate = demand.tokens_per_ms * 1000.0 / TOKENS_PER_REQUEST
        if replicas <= 0 and self.is_asked(demand):
            rate += max(1, demand.waiting)
        return rate * strain(self._load(model), replicas)

    def loss(self, model: str, speed: float) -> float:
        """Return what dropping a replica of an engine of this speed costs, in requests a second."""
        present = self.present.count[model]
        power = self.present.power[model]
        left = max(0.0, power - speed) if present > 1 else 0.0
        loss = self.harm(model, left) - self.harm(model, power)
        demand = self._state.demand.get(model, Demand())
        if not demand.ever_asked:
            return loss + self._unasked_value()
        if present > 1:
            return loss
        age_s = max(0.0, self._state.now - demand.last_requested_at)
        if age_s < KEEP_S:
            return loss + KEEP_VALUE
        still_asked = math.exp(-demand.usual_per_s * age_s)
        return loss + SILENT_PER_S + demand.usual_per_s * still_asked

    def _disturbance(self, engine: EngineState, model: str) -> float:
        """Return what dropping a replica costs besides its place.

        Requests in its queue are turned away, and one that was loaded a moment ago was needed.
        """
        demand = self._state.demand.get(model, Demand())
        rate = demand.tokens_per_ms * 1000.0 / TOKENS_PER_REQUEST
        queued = QUEUED_S * rate / max(1, self.present.count[model])
        fresh = self._state.now - engine.loaded_at.get(model, -1e9) < FRESH_S
        return queued + (FRESH_VALUE if fresh else 0.0)

    def _unasked_value(self) -> float:
        """Return what a replica that was placed before any demand was seen is worth."""
        seen_s = self._state.observed_s
        newcomer = NEWCOMER_PER_S * math.exp(-seen_s / NEWCOMER_S)
        return UNASKED_PER_S * math.exp(-seen_s / UNASKED_S) + newcomer

    def unload_s(self, model: str) -> float:
        """Return the time until a model is gone: its last requests are finished before."""
        demand = self._state.demand.get(model, Demand())
        return UNLOAD_S + max(0.0, RUN_S - (self._state.now - demand.last_requested_at))
