"""Store calls of watchers, lease holders and claims, counted on the real tasks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from cactusshunt.schema.generated.process import ProcessSettings
from cactusshunt.tasks.entry.idempotency_claims import IdempotencyClaims
from cactusshunt.tasks.lease_task import LeaseTask
from cactusshunt.tasks.message_bus import MessageBus
from cactusshunt.tasks.settings_task import SettingsTask
from stand_ins.memory_store import MemoryStore
from stand_ins.memory_store import StoreLink
from stand_ins.store_state import StoreState

if TYPE_CHECKING:
    from collections.abc import Coroutine

MEASURED_S = 60.0
STEP_S = 0.01
STORE_ANSWER_S = 0.005


@dataclass(kw_only=True)
class _StoreSimulation:
    clock: Clock
    store: MemoryStore

    def run_for(self, seconds: float) -> None:
        """Advance the clock in small steps."""
        for _ in range(int(seconds / STEP_S)):
            self.clock.advance(STEP_S)


def _make_simulation() -> _StoreSimulation:
    clock = Clock()
    clock.advance(1000.0)
    link = StoreLink(answer_delay_s=STORE_ANSWER_S)
    return _StoreSimulation(
        clock=clock, store=MemoryStore(clock=clock, state=StoreState(), link=link)
    )


def measure_watcher_calls() -> float:
    """Return the store calls per second of a node that watches a store without changes."""
    simulation = _make_simulation()
    task = SettingsTask(
        reactor=simulation.clock,  # type: ignore[arg-type]
        bus=MessageBus(reactor=simulation.clock),  # type: ignore[arg-type]
        store=simulation.store,
        extra_accept_delay_s=0.0,
    )
    task.start()
    simulation.run_for(5.0)
    before = simulation.store.calls
    simulation.run_for(MEASURED_S)
    return (simulation.store.calls - before) / MEASURED_S


def measure_lease_calls(lease_ttl_s: int) -> float:
    """Return the store calls per second of a node that holds its zone's lease."""
    simulation = _make_simulation()
    settings = ProcessSettings(
        vm="v",
        availability_zone="a",
        address="a",
        store_urls=["http://s"],
        vm_list_url="http://l",
        lease_ttl_s=lease_ttl_s,
    )
    task = LeaseTask(reactor=simulation.clock, store=simulation.store, settings=settings)  # type: ignore[arg-type]
    task.start()
    simulation.run_for(5.0)
    before = simulation.store.calls
    simulation.run_for(MEASURED_S)
    return (simulation.store.calls - before) / MEASURED_S


def measure_claim_calls(claims_per_s: int) -> float:
    """Return the store calls per second of an entry at a rate of non-repeatable requests."""
    simulation = _make_simulation()
    task = IdempotencyClaims(reactor=simulation.clock, store=simulation.store)  # type: ignore[arg-type]
    seconds = 4
    for number in range(claims_per_s * seconds):
        at = number / claims_per_s
        simulation.clock.callLater(at, _start, task.claim(f"once/{number}", "f"))
    simulation.run_for(seconds + 1.0)
    return task.calls / seconds


def _start(coroutine: Coroutine[Any, Any, Any]) -> None:
    Deferred.fromCoroutine(coroutine)
