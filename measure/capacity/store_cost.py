"""Calls to the platform's store: watchers, lease holders and claims, counted on the real tasks."""

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
class _World:
    clock: Clock
    store: MemoryStore

    def run_for(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(int(seconds / STEP_S)):
            self.clock.advance(STEP_S)


def _make_world() -> _World:
    clock = Clock()
    clock.advance(1000.0)
    link = StoreLink(answer_s=STORE_ANSWER_S)
    return _World(clock=clock, store=MemoryStore(clock=clock, state=StoreState(), link=link))


def measure_watcher_calls() -> float:
    """Return the calls a second of one node that watches the store, without changes."""
    world = _make_world()
    task = SettingsTask(
        reactor=world.clock,  # type: ignore[arg-type]
        bus=MessageBus(reactor=world.clock),  # type: ignore[arg-type]
        store=world.store,
        extra_accept_delay_s=0.0,
    )
    task.start()
    world.run_for(5.0)
    before = world.store.calls
    world.run_for(MEASURED_S)
    return (world.store.calls - before) / MEASURED_S


def measure_lease_calls(lease_ttl_s: int) -> float:
    """Return the calls a second of one node that holds its zone's lease."""
    world = _make_world()
    settings = ProcessSettings(
        vm="v",
        availability_zone="a",
        address="a",
        store_urls=["http://s"],
        vm_list_url="http://l",
        lease_ttl_s=lease_ttl_s,
    )
    task = LeaseTask(reactor=world.clock, store=world.store, settings=settings)  # type: ignore[arg-type]
    task.start()
    world.run_for(5.0)
    before = world.store.calls
    world.run_for(MEASURED_S)
    return (world.store.calls - before) / MEASURED_S


def measure_claim_calls(claims_per_s: int) -> float:
    """Return the calls a second of one entry with this many non-repeatable requests a second."""
    world = _make_world()
    task = IdempotencyClaims(reactor=world.clock, store=world.store)  # type: ignore[arg-type]
    seconds = 4
    for number in range(claims_per_s * seconds):
        at = number / claims_per_s
        world.clock.callLater(at, _start, task.claim(f"once/{number}", "f"))
    world.run_for(seconds + 1.0)
    return task.calls / seconds


def _start(coroutine: Coroutine[Any, Any, Any]) -> None:
    Deferred.fromCoroutine(coroutine)
