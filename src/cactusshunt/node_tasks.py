"""Creates the tasks of a node and connects them with each other."""

from __future__ import annotations

import time

from functools import partial
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from cactusshunt.configuration.peer_configuration import PeerConfiguration
from cactusshunt.configuration.platform_view import PlatformView
from cactusshunt.configuration.store_era import StoreEra
from cactusshunt.configuration.version_check import VersionCheck
from cactusshunt.configuration.zone_readers import ZoneReaders
from cactusshunt.customers.customer_quotas import CustomerQuotas
from cactusshunt.detour.detour import Detour
from cactusshunt.detour.service_reach import ServiceReach
from cactusshunt.exceptions import SettingsError
from cactusshunt.http1.client_guard import HELD_FRACTION
from cactusshunt.http1.client_guard import ClientGuard
from cactusshunt.http1.connection_pool import ConnectionPool
from cactusshunt.http1.connection_pool import refuses_connections
from cactusshunt.http1.input_turns import InputTurns
from cactusshunt.http1.memory_budget import BUDGET_FRACTION
from cactusshunt.http1.memory_budget import MemoryBudget
from cactusshunt.limits.request_limits import RequestLimits
from cactusshunt.membership.announcer import Announcer
from cactusshunt.membership.membership_task import LEASE_S
from cactusshunt.membership.membership_task import MembershipTask
from cactusshunt.membership.messages import Broadcast
from cactusshunt.membership.messages import ConvictedPart
from cactusshunt.membership.messages import CrashQuestion
from cactusshunt.membership.messages import CrashReport
from cactusshunt.membership.messages import DemandReport
from cactusshunt.membership.messages import EntryReport
from cactusshunt.membership.messages import LimitReport
from cactusshunt.membership.messages import NoticeReport
from cactusshunt.membership.messages import PartReport
from cactusshunt.membership.messages import PermitGrant
from cactusshunt.membership.messages import PermitRequest
from cactusshunt.membership.messages import PlacementUpdate
from cactusshunt.membership.messages import QuotaDoubt
from cactusshunt.membership.messages import QuotaGrant
from cactusshunt.membership.messages import QuotaRequest
from cactusshunt.membership.messages import Status
from cactusshunt.membership.messages import StopAnswer
from cactusshunt.membership.messages import StopQuestion
from cactusshunt.membership.messages import ZoneWork
from cactusshunt.membership.outdated_peers import OutdatedPeers
from cactusshunt.membership.peer_link import MESSAGE_VERSION
from cactusshunt.membership.peer_link import PeerLink
from cactusshunt.membership.peer_link import PeerRecord
from cactusshunt.membership.zone_summaries import ZoneSummaries
from cactusshunt.node_log import log_event
from cactusshunt.node_state import NodeState
from cactusshunt.notices.entry_reports import EntryReports
from cactusshunt.notices.upstream_notices import UpstreamNotices
from cactusshunt.placement.demand_meter import DemandMeter
from cactusshunt.placement.order_task import OrderTask
from cactusshunt.platform.boot import read_vm_size
from cactusshunt.platform.boot import split_address
from cactusshunt.platform.engine_calls import EngineCalls
from cactusshunt.platform.store import PlatformStore
from cactusshunt.quarantine.quarantine import Quarantine
from cactusshunt.requests.caller_requests import CallerRequests
from cactusshunt.requests.customer_view import CustomerViews
from cactusshunt.requests.hedging import MAX_REPORTED_TIMES
from cactusshunt.requests.hedging import Hedging
from cactusshunt.requests.pick_view import PickView
from cactusshunt.requests.relay import Relay
from cactusshunt.requests.retry_allowance import RetryAllowance
from cactusshunt.requests.second_send import SecondSends
from cactusshunt.requests.upstream_picker import UpstreamPicker
from cactusshunt.requests.where import Where
from cactusshunt.routing.upstream_directory import UpstreamDirectory
from cactusshunt.streams.stream_versions import StreamVersions
from cactusshunt.telemetry.node_telemetry import NodeTelemetry

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.configuration.platform_view import ViewListener
    from cactusshunt.decisions.election_order import VmSizeField
    from cactusshunt.membership.messages import Message
    from cactusshunt.platform.boot import BootSettings
    from cactusshunt.platform.boot import ProcessLimits

CONNECT_TIMEOUT_S = 0.3  # far above (a hundred times) the usual connect time between zones
STORE_CONNECT_TIMEOUT_S = 0.5


class NodeTasks:
    """Creates the tasks, and passes on what one has for another.

    ``current_settings`` returns the settings as they were last read, ``configuration_version`` the
    version of the configuration in force; ``listener`` is told of changes in the store.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        current_settings: Callable[[], BootSettings],
        listener: ViewListener,
        configuration_version: Callable[[], int],
    ) -> None:
        self._reactor = reactor
        self._current_settings = current_settings
        self._configuration_version = configuration_version
        settings = current_settings()
        bounds = settings.bounds
        self.turns = InputTurns(reactor=reactor)
        self.pool = self._make_pool()
        memory_bytes = settings.limits.memory_mb * 1e6
        self.budget = MemoryBudget(limit_bytes=BUDGET_FRACTION * memory_bytes)
        self.guard = ClientGuard(reactor=reactor, limit_bytes=HELD_FRACTION * memory_bytes)
        self.order_pool = self._make_pool()
        self._era = StoreEra(clock=reactor.seconds)
        self._store = self._make_store()
        self._lease_store = self._make_store()
        self.link = PeerLink(vm=settings.node, receive=self._receive)
        self.directory = UpstreamDirectory(drain_s=bounds.drain_ms / 1000.0, clock=reactor.seconds)
        self.notices = UpstreamNotices(
            reactor=reactor,
            vm=settings.node,
            directory=self.directory,
            link=self.link,
            drain_s=bounds.drain_ms / 1000.0,
        )
        self.entry_reports = EntryReports(
            reactor=reactor, vm=settings.node, directory=self.directory, link=self.link
        )
        self.membership = MembershipTask(
            reactor=reactor,
            store=self._lease_store,
            era=self._era,
            link=self.link,
            vm=settings.node,
            record=PeerRecord(
                address=settings.ip,
                port=settings.port_range[0],  # UDP for datagrams, TCP for requests passed on
                availability_zone=settings.zone,
                message_version=MESSAGE_VERSION,
                size=_read_size(settings.limits),
            ),
            lease_s=max(LEASE_S, settings.platform.ttl_min_ms / 1000.0),
            # lease_ms bounds how soon a former order holder may order again; LEASE_S is the lease
            reelection_delay_s=bounds.lease_ms / 1000.0,
            is_first_start=settings.bootstrap,
            refuses=partial(refuses_connections, self.order_pool),
        )
        self.orders = OrderTask(
            reactor=reactor,
            vm=settings.node,
            directory=self.directory,
            calls=EngineCalls(
                reactor=reactor, pool=self.order_pool, notices=self.notices, budget=self.budget
            ),
            tenure=lambda: self.membership.tenure,
            may_order=self.membership.may_order,
            publish=self._publish,
            is_large_fleet=lambda: self.link.is_large_fleet,
        )
        self.notices.on_departure = self.orders.plan_soon
        self._meter = DemandMeter()
        self.allowance = RetryAllowance(
            ratio=bounds.retry_budget_ratio,
            window_s=bounds.budget_window_s,
            spare=bounds.budget_min_retries,
            started_at=reactor.seconds(),
        )
        self.limits = RequestLimits(
            reactor=reactor,
            vm=settings.node,
            directory=self.directory,
            membership=self.membership,
            link=self.link,
        )
        self.quotas = CustomerQuotas(
            reactor=reactor, vm=settings.node, membership=self.membership, link=self.link
        )
        self.picker = UpstreamPicker(
            reactor=reactor,
            directory=self.directory,
            meter=self._meter,
            availability_zone=settings.zone,
            trigger_planning=lambda: self.announcer.send_demand_and_plan_soon(),
            limits=self.limits,
            notices=self.notices,
            prefer_version=lambda job: self.streams.prefer_version(job),
        )
        self.limits.on_permits = self.picker.wake
        self.directory.on_change = self.picker.wake
        self.directory.wake_later = lambda s: reactor.callLater(s, self.picker.wake)
        self.directory.on_expired = lambda upstream: self.pool.close_idle_connections(
            upstream.address
        )
        self.reach = ServiceReach(
            reactor=reactor,
            pool=self._make_pool(),
            directory=self.directory,
            notices=self.notices,
            budget=self.budget,
        )
        self.notices.on_doubt = self.reach.ask
        self.hedging = Hedging(
            max_share=settings.hedging.max_share,
            first_number=int(time.time() * 1000.0),
            serves=self.directory.serves,
        )
        self.summaries = ZoneSummaries(
            vm=settings.node,
            availability_zone=settings.zone,
            link=self.link,
            directory=self.directory,
            clock=reactor.seconds,
        )
        self.announcer = Announcer(
            reactor=reactor,
            vm=settings.node,
            availability_zone=settings.zone,
            link=self.link,
            directory=self.directory,
            meter=self._meter,
            membership=self.membership,
            list_reached_services=self.reach.list_reached,
            handle_demand=self._handle_demand,
            plan_now=self._plan_now,
            record_work=self.summaries.record_own_work,
            list_answer_times=self.hedging.list_unreported,
        )
        self.quarantine = Quarantine(
            reactor=reactor,
            vm=settings.node,
            pool=self.pool,
            directory=self.directory,
            link=self.link,
            store=self._lease_store,
            measure_store_silence_s=self._measure_store_silence_s,
        )
        self.streams = StreamVersions(
            reactor=reactor,
            vm=settings.node,
            store=self._lease_store,
            era=self._era,
            directory=self.directory,
            link=self.link,
            measure_store_silence_s=self._measure_store_silence_s,
        )
        pick_view = PickView(
            reactor=reactor,
            directory=self.directory,
            availability_zone=settings.zone,
            limits=self.limits,
            notices=self.notices,
            prefer_version=self.streams.prefer_version,
            fair_admission=self.picker.fair_admission,
        )
        self.peer_pool = self._make_pool()
        detour = Detour(
            reactor=reactor,
            vm=settings.node,
            availability_zone=settings.zone,
            pool=self.peer_pool,
            link=self.link,
            reach=self.reach,
            configuration_version=configuration_version,
            list_leaving=self.directory.list_leaving,
        )
        relay = Relay(
            reactor=reactor,
            pool=self.pool,
            directory=self.directory,
            picker=self.picker,
            allowance=self.allowance,
            limits=self.limits,
            quarantine=self.quarantine,
            reach=self.reach,
            detour=detour,
            streams=self.streams,
            notices=self.notices,
            second_sends=SecondSends(
                reactor=reactor,
                hedging=self.hedging,
                picker=self.picker,
                allowance=self.allowance,
                limits=self.limits,
                quarantine=self.quarantine,
            ),
        )
        self.quarantine.on_crash = relay.record_crash
        self.quarantine.list_helpers = self.reach.list_helpers
        self._handlers: dict[type[Message], Callable[[Any], None]] = {
            Status: self._handle_status,
            ZoneWork: self.summaries.apply_message,
            DemandReport: self._handle_demand,
            PlacementUpdate: self._handle_placement,
            LimitReport: self.limits.apply_message,
            PermitRequest: self.limits.apply_message,
            PermitGrant: self.limits.apply_message,
            QuotaRequest: self.quotas.apply_message,
            QuotaGrant: self.quotas.apply_message,
            QuotaDoubt: self.quotas.apply_message,
            CrashReport: self.quarantine.apply_message,
            CrashQuestion: self.quarantine.apply_message,
            PartReport: self.quarantine.apply_message,
            ConvictedPart: self.quarantine.apply_message,
            NoticeReport: self.notices.apply_message,
            EntryReport: self.entry_reports.apply_message,
            StopQuestion: self.membership.answer_question,
            StopAnswer: self.membership.record_stop_answer,
        }
        self.callers = CallerRequests(
            reactor=reactor,
            relay=relay,
            meter=self._meter,
            grace_s=bounds.grace_s,
            quotas=self.quotas,
        )
        self.reader_pool = self._make_pool()
        self.readers = ZoneReaders(
            reactor=reactor,
            vm=settings.node,
            availability_zone=settings.zone,
            link=self.link,
            pool=self.reader_pool,
            era=self._era,
            must_read_store=lambda: self.membership.is_holder,
            configuration_version=configuration_version,
        )
        self.where = Where(
            vm=settings.node,
            clock=reactor.seconds,
            callers=self.callers,
            pick_view=pick_view,
            quarantine=self.quarantine,
            detour=detour,
            streams=self.streams,
            allowance=self.allowance,
            configuration_version=configuration_version,
        )
        self.where.describe_customer = CustomerViews(
            callers=self.callers, quotas=self.quotas, clock=reactor.seconds
        ).describe
        self.view = PlatformView(
            reactor=reactor,
            store=self._store,
            listener=listener,
            config_bound_s=bounds.config_ms / 1000.0,
            count_vms=lambda: 1 + len(self.link.peers),
            readers=self.readers,
        )
        self.version_check = VersionCheck(
            reactor=reactor,
            store=self._lease_store,
            view=self.view,
            listener=listener,
            peers=PeerConfiguration(
                reactor=reactor, vm=settings.node, link=self.link, pool=self.peer_pool
            ),
            measure_store_silence_s=self._measure_store_silence_s,
        )
        self.outdated = OutdatedPeers(
            link=self.link, clock=reactor.seconds, answer=self.announcer.answer_status
        )
        self.link.list_reporting = self.outdated.list_reporting
        self.state = NodeState(
            vm=settings.node,
            clock=reactor.seconds,
            directory=self.directory,
            membership=self.membership,
            orders=self.orders,
            callers=self.callers,
            picker=self.picker,
            allowance=self.allowance,
            link=self.link,
            limits=self.limits,
            quotas=self.quotas,
            era=self._era,
            view=self.view,
            readers=self.readers,
            version_check=self.version_check,
            quarantine=self.quarantine,
            reach=self.reach,
            guard=self.guard,
        )
        self.telemetry = NodeTelemetry(read_gauges=self.state.read_gauges, statsd=settings.statsd)

    def _make_pool(self, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> ConnectionPool:
        return ConnectionPool(
            reactor=self._reactor, connect_timeout_s=connect_timeout_s, turns=self.turns
        )

    def _make_store(self) -> PlatformStore:
        pool = self._make_pool(STORE_CONNECT_TIMEOUT_S)
        address = split_address(self._current_settings().platform.address)
        return PlatformStore(reactor=self._reactor, address=address, pool=pool, era=self._era)

    def _receive(self, message: Message) -> None:
        if isinstance(message, Broadcast) and message.forward_in_zone:
            self.link.forward_in_zone(message, self._current_settings().zone)
        self._handlers[type(message)](message)

    def _handle_status(self, status: Status) -> None:
        if self.summaries.record_status(status):
            self.directory.apply_status(status, self.summaries.find_report_age_s(status.vm))
        self.reach.record_peer_word(status.vm, status.reached_services)
        self.version_check.record_peer_version(status.configuration_version, status.vm)
        self.outdated.record_status(status, self._configuration_version())
        for answer in status.answer_times[:MAX_REPORTED_TIMES]:
            self.hedging.record_peer_answer(status.vm, answer, self._now())
        self.membership.record_store_report(status.vm, status.store_silent_ms / 1000.0)

    def _handle_placement(self, update: PlacementUpdate) -> None:
        for engine_items in update.engines:
            self.directory.apply_engine_items(engine_items, update.token)
        for loads in update.planned_loads:
            self.directory.apply_planned_loads(loads, update.token)

    def _handle_demand(self, report: DemandReport) -> None:
        self.orders.fleet_demand.apply_report(report.vm, report.items, self._now())
        if any(item.waiting for item in report.items):
            self.orders.plan_soon()

    def _plan_now(self) -> None:
        self.orders.plan_soon()
        self.orders.tick()

    def _publish(self, update: PlacementUpdate) -> None:
        self.link.broadcast(update)

    def _measure_store_silence_s(self) -> float:
        return self.membership.store_silent_s(self._now())

    def _now(self) -> float:
        return self._reactor.seconds()  # type: ignore[no-any-return]


def _read_size(limits: ProcessLimits) -> VmSizeField:
    """Return the VM's size, unset if the settings state none or an unreadable one."""
    try:
        return read_vm_size(limits) or msgspec.UNSET
    except SettingsError as error:
        log_event("size_unreadable", key="limits", reason=error.reason)
        return msgspec.UNSET
