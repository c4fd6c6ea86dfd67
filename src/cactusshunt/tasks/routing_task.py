"""Routing table that the control process sends to this VM's entry process."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.decisions.router import LEAVING_NOTICE_MAX_AGE_S
from cactusshunt.schema.generated.messages import RoutingTable
from cactusshunt.schema.generated.messages import RoutingTableRequest
from cactusshunt.schema.generated.messages import UpstreamState
from cactusshunt.schema.generated.messages import UpstreamUpdate
from cactusshunt.tasks.control_messages import DigestReceived
from cactusshunt.tasks.control_messages import LoadLevelsObserved
from cactusshunt.tasks.control_messages import SettingsAdopted
from cactusshunt.tasks.control_messages import UpstreamLeaving
from cactusshunt.tasks.control_messages import UpstreamsObserved
from cactusshunt.tasks.control_messages import UpstreamsRemoved
from cactusshunt.tasks.periodic import Periodic

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

    from cactusshunt.schema.generated.messages import Subtree
    from cactusshunt.tasks.message_bus import MessageBus
    from cactusshunt.tasks.peer_task import PeerTask

UPDATE_INTERVAL_S = 0.5
OBSERVER_TIMEOUT_S = 15.0  # silence of an observer after which the states it sent are stale


class RoutingTask:
    """Maintains the states of the upstreams of all zones, as known to this node."""

    def __init__(self, *, reactor: ReactorBase, bus: MessageBus, peers: PeerTask, vm: str) -> None:
        self._reactor = reactor
        self._peers = peers
        self._vm = vm
        self._subtrees: tuple[Subtree, ...] | None = None
        self._states: dict[str, UpstreamState] = {}
        self._observers: dict[str, str] = {}
        self._confirmed_at: dict[str, float] = {}
        self._leaving_until: dict[str, float] = {}
        self._sent: dict[str, UpstreamState] = {}
        self._sequence = 0
        self._updates = Periodic(
            reactor=reactor, interval_s=UPDATE_INTERVAL_S, run=self._send_update
        )
        bus.subscribe(SettingsAdopted, self._receive_settings)
        bus.subscribe(UpstreamsObserved, self._receive_observation)
        bus.subscribe(LoadLevelsObserved, self._receive_load_levels)
        bus.subscribe(UpstreamsRemoved, self._receive_removal)
        bus.subscribe(UpstreamLeaving, self._receive_leaving)
        bus.subscribe(DigestReceived, self._receive_digest)
        bus.subscribe(RoutingTableRequest, lambda _: self._send_table())

    @property
    def states(self) -> dict[str, UpstreamState]:
        """Return the current upstream states by VM name."""
        return self._current_states()

    def state_of(self, name: str) -> UpstreamState | None:
        """Return the current state of one upstream."""
        state = self._states.get(name)
        return (
            self._mark_leaving_or_stale(state, self._reactor.seconds())
            if state is not None
            else None
        )

    def start(self) -> None:
        """Start sending updates to the entry process."""
        self._updates.start()

    def stop(self) -> None:
        """Stop sending updates."""
        self._updates.stop()

    def dump(self) -> dict[str, Any]:
        """Return this task's state."""
        return {"upstreams": list(self._current_states().values())}

    def _receive_settings(self, message: SettingsAdopted) -> None:
        self._subtrees = message.subtrees
        self._send_table()

    def _receive_observation(self, message: UpstreamsObserved) -> None:
        self._confirmed_at[message.observer] = self._reactor.seconds()
        for state in message.states:
            self._states[state.vm] = state
            self._observers[state.vm] = message.observer

    def _receive_load_levels(self, message: LoadLevelsObserved) -> None:
        for name, level in message.levels.items():
            state = self._states.get(name)
            if state is not None:
                self._states[name] = replace(state, load_level=level)

    def _receive_removal(self, message: UpstreamsRemoved) -> None:
        for name in message.names:
            self._states.pop(name, None)
            self._observers.pop(name, None)
            self._leaving_until.pop(name, None)

    def _receive_leaving(self, message: UpstreamLeaving) -> None:
        self._leaving_until[message.name] = self._reactor.seconds() + LEAVING_NOTICE_MAX_AGE_S
        self._updates.trigger()

    def _receive_digest(self, message: DigestReceived) -> None:
        self._confirmed_at[message.observer] = self._reactor.seconds()

    def _current_states(self) -> dict[str, UpstreamState]:
        now = self._reactor.seconds()
        return {
            name: self._mark_leaving_or_stale(state, now) for name, state in self._states.items()
        }

    def _mark_leaving_or_stale(self, state: UpstreamState, now: float) -> UpstreamState:
        """Return a state, marked as leaving or stale if this node knows that it is."""
        if self._leaving_until.get(state.vm, 0.0) > now:
            state = replace(state, leaving=True)
        observer = self._observers.get(state.vm, "")
        if observer == self._vm or state.role == "service":
            return state
        if now - self._confirmed_at.get(observer, 0.0) <= OBSERVER_TIMEOUT_S:
            return state
        return replace(state, stale=True)

    def _send_table(self) -> None:
        if self._subtrees is None:
            return
        self._sent = self._current_states()
        self._sequence += 1
        self._peers.send_to_entry(
            RoutingTable(
                sequence=self._sequence,
                subtrees=self._subtrees,
                upstreams=list(self._sent.values()),
                entries=1 + len(self._peers.membership.live_peers(self._reactor.seconds())),
            )
        )

    async def _send_update(self) -> None:
        if self._subtrees is None:
            return
        current = self._current_states()
        changed = [state for name, state in current.items() if self._sent.get(name) != state]
        removed = sorted(self._sent.keys() - current.keys())
        self._sent = current
        self._sequence += 1
        self._peers.send_to_entry(
            UpstreamUpdate(sequence=self._sequence, upstreams=changed, removed=removed)
        )
