"""Fetches the VM list and the reports of the upstreams that this node polls."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import DeferredList

from cactusshunt.decisions.membership import Duties
from cactusshunt.decisions.router import LEAVING_NOTICE_MAX_AGE_S
from cactusshunt.decisions.upstream_state import describe_engine
from cactusshunt.decisions.upstream_state import describe_without_report
from cactusshunt.tasks.control_messages import DutiesAssigned
from cactusshunt.tasks.control_messages import UpstreamLeaving
from cactusshunt.tasks.control_messages import UpstreamsObserved
from cactusshunt.tasks.control_messages import VmListRead
from cactusshunt.tasks.periodic import Periodic

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

    from cactusshunt.clients.engine import EngineControl
    from cactusshunt.clients.vm_list import VmList
    from cactusshunt.decisions.membership import Membership
    from cactusshunt.schema.generated.messages import UpstreamState
    from cactusshunt.schema.generated.messages import Vm
    from cactusshunt.tasks.message_bus import MessageBus

POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 1.0
VM_LIST_INTERVAL_S = 1.0


class UpstreamTask:
    """Polls the VM list and this node's share of the zone's upstreams."""

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        bus: MessageBus,
        vm: str,
        membership: Membership,
        vm_list: VmList,
        engines: EngineControl,
    ) -> None:
        self._reactor = reactor
        self._bus = bus
        self._vm = vm
        self._membership = membership
        self._vm_list = vm_list
        self._engines = engines
        self._duties = Duties()
        self._states: dict[str, UpstreamState] = {}
        self._leaving_until: dict[str, float] = {}
        self._vm_list_reads = Periodic(
            reactor=reactor, interval_s=VM_LIST_INTERVAL_S, run=self._read_list
        )
        self._polls = Periodic(reactor=reactor, interval_s=POLL_INTERVAL_S, run=self._poll_all)
        bus.subscribe(DutiesAssigned, self._receive_duties)
        bus.subscribe(UpstreamLeaving, self._receive_leaving)

    def start(self) -> None:
        """Start fetching the VM list and polling."""
        self._vm_list_reads.start()
        self._polls.start()

    def stop(self) -> None:
        """Stop fetching the VM list and polling."""
        self._vm_list_reads.stop()
        self._polls.stop()

    def dump(self) -> dict[str, Any]:
        """Return this task's state."""
        return {"polled": sorted(self._duties.upstreams), "leaving": sorted(self._leaving_until)}

    def _receive_duties(self, message: DutiesAssigned) -> None:
        self._duties = message.duties
        self._states = {
            name: state for name, state in self._states.items() if name in self._duties.upstreams
        }

    def _receive_leaving(self, message: UpstreamLeaving) -> None:
        self._leaving_until[message.name] = self._reactor.seconds() + LEAVING_NOTICE_MAX_AGE_S

    async def _read_list(self) -> None:
        if not self._duties.polls_vm_list:
            return
        result = await self._vm_list.fetch(deadline=self._reactor.seconds() + POLL_TIMEOUT_S)
        if result.is_ok():
            self._bus.publish(VmListRead(vms=tuple(result.ok)))

    async def _poll_all(self) -> None:
        polled = [vm for vm in self._membership.vms if vm.vm in self._duties.upstreams]
        await DeferredList([Deferred.fromCoroutine(self._poll(vm)) for vm in polled])

    async def _poll(self, vm: Vm) -> None:
        if vm.role == "engine":
            deadline = self._reactor.seconds() + POLL_TIMEOUT_S
            result = await self._engines.fetch_report(vm.address, deadline=deadline)
            report = result.ok if result.is_ok() else None
        else:
            report = None
        before = self._states.get(vm.vm)
        leaving = self._leaving_until.get(vm.vm, 0.0) > self._reactor.seconds()
        state = (
            describe_engine(vm, report, leaving=leaving)
            if report is not None
            else describe_without_report(vm, before, leaving=leaving)
        )
        if state == before:
            return
        self._states[vm.vm] = state
        self._bus.publish(UpstreamsObserved(observer=self._vm, states=(state,)))
        if report is not None and report.draining and not leaving:  # a draining engine leaves soon
            self._bus.publish(UpstreamLeaving(name=vm.vm))
