"""Which model each engine loads or drops next.

Answers the load patterns "demand moves to other models", "rare models are asked for at once" and
"engines that held models are lost": engines' memory is a cache of models with a limited fill.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.placement.engine_ledger import UNLOAD_S
from cactusshunt.placement.fleet_state import ModelPlan
from cactusshunt.placement.fleet_state import PlannedArrival
from cactusshunt.placement.fleet_state import PlannedOrder
from cactusshunt.placement.fleet_state import WeightSource
from cactusshunt.placement.late_fraction import ReplicaTally
from cactusshunt.placement.replica_value import NEWCOMER_S
from cactusshunt.placement.replica_value import ModelWorth

if TYPE_CHECKING:
    from cactusshunt.placement.fleet_state import EngineState
    from cactusshunt.placement.fleet_state import FleetState

MOVE_PRICE = 0.2  # requests that a move must serve better to be worth its load
SPARE_PART = 0.22  # of the engines that should have a place free for a model that comes up
SPARE_LOSS_PER_S = 0.08  # requests that a spare place may cost
GROW_PRICE = 0.6  # the same for a further replica
STORE_PRICE = 1.2  # the same for a load from the weight store, if the model is held already
MOST_NEEDS = 32  # looked at in one plan, the most harmful ones first; a plan takes milliseconds
STORE_PENALTY_S = 1.0  # loads from the weight store are limited and serve all engines
DOUBT_S = 3.0  # after an order without an answer, in which an engine may leave more unanswered
DOUBT_PRICE_S = 1.0  # a few time-outs of orders
SAME_ZONE_S = 0.6  # replicas are spread over zones, since bytes between zones are dear
ADAPTER_HOST_S = 1.0  # per second of load and request a second for adapters held up meanwhile
BLOCKED_PART = 0.3  # of requests for adapters that find theirs missing while an engine loads


@dataclass(frozen=True, kw_only=True)
class _Need:
    model: str
    gain: float
    absent: bool


def plan_models(state: FleetState) -> ModelPlan:
    """Return the next orders, at most one for each engine that is not busy, and what follows."""
    planner = _Planner(state)
    planner.fill_reserved()
    for need in planner.find_needs()[:MOST_NEEDS]:
        planner.serve(need)
    planner.keep_spare_places()
    return ModelPlan(orders=planner.orders, arrivals=planner.arrivals)


@dataclass(frozen=True, kw_only=True)
class _Offer:
    """A load on one engine: its price in seconds, who goes for it, and what it takes."""

    engine: EngineState
    victim: str | None
    price: float
    duration_s: float
    store_wait_s: float


class _Planner:
    """Collects orders and keeps count of what they change.

    ``expected`` counts the replicas that serve and the ones under way.
    """

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self.orders: list[PlannedOrder] = []
        self._engines = {engine.name: engine for engine in state.engines if not engine.busy}
        self.arrivals: list[PlannedArrival] = []
        self._waits = {
            engine.name: engine.free_in_s if engine.busy else 0.0
            for engine in state.engines
            if engine.reserved_for is None
        }
        self._loads_left = state.store_loads_allowed
        self._worth = ModelWorth(state)
        self.expected = ReplicaTally()
        self._zones: set[tuple[str, str]] = set()
        self._rooms: dict[str, float] = {}
        for engine in state.engines:
            under_way = {*engine.coming}
            if engine.reserved_for is not None:
                under_way.add(engine.reserved_for)
            self._worth.present.add(engine, *(engine.models.keys() - under_way))
            held = engine.models.keys() | under_way
            self.expected.add(engine, *held)
            self._zones.update((model, engine.availability_zone) for model in held)

    def find_needs(self) -> list[_Need]:
        """Return the models of which a further replica would serve requests better."""
        needs = []
        for model, demand in self._state.demand.items():
            held = self.expected.count[model]
            if model not in self._state.facts or (not held and not self._worth.is_asked(demand)):
                continue
            power = self.expected.power[model]
            gain = self._worth.harm(model, power) - self._worth.harm(model, power + 1.0)
            if gain > MOVE_PRICE:
                needs.append(_Need(model=model, gain=gain, absent=held == 0))
        return sorted(needs, key=lambda need: -need.gain)

    def fill_reserved(self) -> None:
        """Load the models for which room was made, those that serve most first."""
        waiting = [engine for engine in self._state.engines if engine.reserved_for is not None]
        waiting.sort(key=lambda engine: -self._worth.harm(str(engine.reserved_for), 0))
        for engine in waiting:
            model = engine.reserved_for
            if engine.name not in self._engines:
                self._count_promise(engine)
                continue
            fact = self._state.facts.get(model) if model is not None else None
            if model is None or fact is None or model in engine.models:
                continue
            if self._free_mb(engine) < fact.size_mb:
                continue
            if engine.source_of(model) is WeightSource.STORE and self._loads_left <= 0:
                del self._engines[engine.name]
                continue
            self.expected.remove(engine, model)
            self._order(engine, model, None, "room was made")

    def keep_spare_places(self) -> None:
        """Drop what is least likely to be asked for, so that a rare model finds room at once.

        A model with requests under way would keep its engine from other orders until they end.
        """
        if self._state.observed_s <= NEWCOMER_S:
            return
        size = max((fact.size_mb for fact in self._state.facts.values()), default=0.0)
        free = [engine for engine in self._state.engines if self._free_mb(engine) >= size]
        wanted = round(len(self._state.engines) * SPARE_PART)
        if len(free) + len(self.orders) >= wanted:
            return
        options = []
        for engine in self._engines.values():
            if engine.reserved_for is not None or engine in free:
                continue
            idle = [model for model in engine.models if self._worth.unload_s(model) <= UNLOAD_S]
            if idle:
                loss, victim = min((self._worth.loss(m, engine.speed), m) for m in idle)
                options.append((loss, engine.name, victim))
        if options and min(options)[0] < SPARE_LOSS_PER_S:
            _, name, victim = min(options)
            self._drop(self._engines[name], victim, None, "spare place")

    def _free_mb(self, engine: EngineState) -> float:
        return engine.capacity_mb - engine.used_mb(self._state.facts)

    def _drop(self, engine: EngineState, victim: str, follower: str | None, reason: str) -> None:
        del self._engines[engine.name]
        self.expected.remove(engine, victim)
        self._worth.drop(engine, victim)
        self.orders.append(
            PlannedOrder(
                engine=engine.name,
                load=False,
                model=victim,
                expected=engine.sequence,
                makes_room_for=follower,
                source=engine.source_of(follower) if follower else WeightSource.MEMORY,
                reason=reason,
            )
        )

    def _count_promise(self, engine: EngineState) -> None:
        """Set a load from the weight store aside for room that is being made."""
        model = str(engine.reserved_for)
        if model not in engine.models and engine.source_of(model) is WeightSource.STORE:
            self._loads_left -= 1

    def serve(self, need: _Need) -> None:
        """Load a model where it serves soonest at the least harm, now or after what is under way.

        An engine that has the weights at hand may be worth a wait, rather than that another one
        takes no orders for the time of a load from the weight store.
        """
        offers = [
            offer
            for engine in self._state.engines
            if (offer := self._offer(engine, need)) is not None
        ]
        if not offers:
            return
        best = min(offers, key=lambda offer: offer.price)
        wait = self._waits[best.engine.name] or 0.0
        if best.engine.name in self._engines and not best.store_wait_s:
            self._order(best.engine, need.model, best.victim, "absent" if need.absent else "busy")
        elif need.absent:
            self.arrivals.append(
                PlannedArrival(
                    engine=best.engine.name, model=need.model, in_s=wait + best.duration_s
                )
            )
        self._waits[best.engine.name] = wait + best.duration_s

    def _offer(self, engine: EngineState, need: _Need) -> _Offer | None:
        """Return what a load here costs; ``None`` if it can't be or isn't worth it."""
        wait = self._waits.get(engine.name)
        if wait is None or need.model in engine.models or need.model in engine.coming:
            return None
        fact = self._state.facts[need.model]
        source = engine.source_of(need.model)
        load, adapter_rate = self._worth.find_busyness(engine)
        duration = fact.load_s[source]
        price = wait + duration * (1.0 + ADAPTER_HOST_S * adapter_rate) + load
        if (need.model, engine.availability_zone) in self._zones:
            price += SAME_ZONE_S
        if engine.unanswered_s < DOUBT_S:
            price += DOUBT_PRICE_S
        store_wait = 0.0
        if source is WeightSource.STORE:
            if not need.absent and need.gain < STORE_PRICE:
                return None
            price += STORE_PENALTY_S
            if self._loads_left <= 0:
                store_wait = (1.0 - self._loads_left) / max(0.01, self._state.store_loads_per_s)
        victim = None
        if self._find_room_mb(engine) < fact.size_mb:
            victim = self._worth.find_victim(engine)
            if victim is None:
                return None
            blocked = BLOCKED_PART * duration * adapter_rate
            if need.gain < victim.loss + blocked + (MOVE_PRICE if need.absent else GROW_PRICE):
                return None
            duration += victim.unload_s
            price += victim.price_s
        return _Offer(
            engine=engine,
            victim=victim.model if victim is not None else None,
            price=price + store_wait,
            duration_s=duration + store_wait,
            store_wait_s=store_wait,
        )

    def _find_room_mb(self, engine: EngineState) -> float:
        """Return the MB that are free once the models under way have arrived."""
        found = self._rooms.get(engine.name)
        if found is None:
            facts = self._state.facts
            arriving = sum(
                facts[model].size_mb if model in facts else engine.capacity_mb
                for model in engine.coming - engine.models.keys()
            )
            found = self._free_mb(engine) - arriving
            self._rooms[engine.name] = found
        return found

    def _order(self, engine: EngineState, model: str, victim: str | None, reason: str) -> None:
        self.expected.add(engine, model)
        source = engine.source_of(model)
        if source is WeightSource.STORE:
            self._loads_left -= 1
        if victim is not None:
            self._drop(engine, victim, model, f"{reason}: {model}")
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
