"""State of a node, as a dump for operators and as gauges for metrics."""

from __future__ import annotations

import os

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.node_log import event_log
from cactusshunt.telemetry.gauges import GaugeReading

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cactusshunt.configuration.platform_view import PlatformView
    from cactusshunt.configuration.store_era import StoreEra
    from cactusshunt.configuration.version_check import VersionCheck
    from cactusshunt.configuration.zone_readers import ZoneReaders
    from cactusshunt.customers.customer_quotas import CustomerQuotas
    from cactusshunt.detour.service_reach import ServiceReach
    from cactusshunt.http1.client_guard import ClientGuard
    from cactusshunt.limits.request_limits import RequestLimits
    from cactusshunt.membership.membership_task import MembershipTask
    from cactusshunt.membership.peer_link import PeerLink
    from cactusshunt.placement.order_task import OrderTask
    from cactusshunt.quarantine.quarantine import Quarantine
    from cactusshunt.requests.caller_requests import CallerRequests
    from cactusshunt.requests.retry_allowance import RetryAllowance
    from cactusshunt.requests.upstream_picker import UpstreamPicker
    from cactusshunt.routing.upstream_directory import UpstreamDirectory

MAX_GAUGED_CUSTOMERS = 64  # bounds the label values
MAX_LISTED = 200  # entries per list, which bounds the dump's size in a large fleet


class NodeState:
    """Reads the state of a node's tasks without changing it."""

    def __init__(
        self,
        *,
        vm: str,
        clock: Callable[[], float],
        directory: UpstreamDirectory,
        membership: MembershipTask,
        orders: OrderTask,
        callers: CallerRequests,
        picker: UpstreamPicker,
        allowance: RetryAllowance,
        link: PeerLink,
        limits: RequestLimits,
        quotas: CustomerQuotas,
        era: StoreEra,
        view: PlatformView,
        readers: ZoneReaders,
        version_check: VersionCheck,
        quarantine: Quarantine,
        reach: ServiceReach,
        guard: ClientGuard,
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._directory = directory
        self._membership = membership
        self._orders = orders
        self._callers = callers
        self._picker = picker
        self._allowance = allowance
        self._link = link
        self._limits = limits
        self._quotas = quotas
        self._era = era
        self._view = view
        self._readers = readers
        self._version_check = version_check
        self._quarantine = quarantine
        self._reach = reach
        self._guard = guard
        self._version = 0
        self._version_at = clock()
        self.stopping = False

    def record_configuration(self, version: int) -> None:
        """Record the configuration version that is in force from now on."""
        self._version = version
        self._version_at = self._clock()

    def dump_state(self) -> dict[str, Any]:
        """Return the state of the process, bounded in size."""
        now = self._clock()
        issued = self._quotas.list_issued()
        return {
            "vm": self._vm,
            "pid": os.getpid(),
            "configuration_version": self._version,
            "newest_configuration_version": self._version_check.newest,
            "store_era": self._era.number,
            "store_era_known_s": round(now - self._era.known_since, 3),
            "store_revision": self._view.revision,
            "zone_reader": self._readers.reader,
            "stopping": self.stopping,
            "in_flight": self._callers.in_flight,
            "caller_connections": len(self._callers.connections),
            "queued": self._picker.queued,
            "order_holder": self._membership.holder,
            "orders_given": self._orders.orders_given,
            "store_silent_s": round(self._membership.store_silent_s(now), 3),
            "peers": sorted(self._link.peers)[:MAX_LISTED],
            "upstreams": [
                {
                    "name": upstream.name,
                    "service": upstream.entry.service,
                    "state": upstream.entry.state,
                    "running": upstream.running,
                    "tokens_per_ms": round(upstream.rate, 2),
                    "work_percent": round(100.0 * upstream.slowdown(now)),
                    "failure_share": round(upstream.failure_history.share, 2),
                    "resting": upstream.failure_history.resting(now),
                    "leaving": upstream.leaving,
                    "paused_s": round(max(0.0, upstream.paused_until - now), 3),
                    "models": sorted(upstream.held.models),
                    # number of the order holder's last update on this upstream
                    "holder_word": upstream.held.order[1],
                }
                for upstream in self._directory.all()[:MAX_LISTED]
            ],
            "cut_off_from": self._reach.list_cut_off(),
            "overloaded": self._picker.fair_admission.shares.describe(now)[:MAX_LISTED],
            "suspected_parts": self._quarantine.describe(now)[:MAX_LISTED],
            "request_limits": [
                {
                    "upstream": limited.name,
                    "per_s": limited.limit.per_s,
                    "source": limited.limit.source,
                    "known_s": round(now - limited.limit.known_since, 3),
                    "confirmed_s": round(now - limited.limit.observed_at, 3),
                    "issuer": limited.issuer,
                    "share_per_s": limited.share_per_s,
                    "permits": limited.pool.count(now),
                    "permits_end_ms": limited.pool.longest_left_ms(now),
                    "waiting": limited.waiting,
                    "sent": limited.usage.sent_total,
                    "held_back": limited.usage.held_back_total,
                    "refused": limited.usage.refused_total,
                }
                for limited in list(self._limits.list_all().values())[:MAX_LISTED]
            ],
            "quotas": [
                {
                    "customer": usage.name,
                    "rate_per_s": usage.quota.rate_per_s,
                    "burst": usage.quota.burst,
                    "unit": usage.quota.unit.value,
                    "issuer": self._quotas.find_issuer(usage),
                    "issued_here_per_s": issued.get(usage.name, 0.0),
                    "credit": usage.pool.measure_amount(now),
                    "waiting": len(usage.waiting),
                    "admitted": usage.total.admitted,
                    "admitted_amount": usage.total.admitted_amount,
                    "refused": usage.total.refused,
                    "refused_amount": usage.total.refused_amount,
                    "given_back": usage.total.given_back,
                }
                for usage in list(self._quotas.list_all().values())[:MAX_LISTED]
            ],
        }

    def read_gauges(self) -> Iterable[GaugeReading]:
        """Return the gauges of the metrics endpoint; docs/metrics.md explains each."""
        now = self._clock()
        upstreams = self._directory.all()
        states = Counter(upstream.entry.state for upstream in upstreams)
        states["resting"] = sum(upstream.failure_history.resting(now) for upstream in upstreams)
        states["leaving"] = sum(upstream.leaving for upstream in upstreams)
        states["paused"] = sum(upstream.paused_until > now for upstream in upstreams)
        single = {
            "ready": (
                "Whether the balancer should send new callers here.",
                self._version > 0 and not self.stopping,
            ),
            "in_flight": ("Open requests.", self._callers.in_flight),
            "queued": (
                "Requests that wait until a model or adapter is loaded.",
                self._picker.queued,
            ),
            "caller_connections": ("Open caller connections.", len(self._callers.connections)),
            "held_bytes": ("Memory that clients of all ports take.", self._guard.held_bytes),
            "configuration_version": ("Configuration version in force.", self._version),
            "configuration_age_seconds": (
                "Seconds since the configuration came into force.",
                now - self._version_at,
            ),
            "configuration_versions_behind": (
                "By how much the newest version that any VM reported exceeds this VM's.",
                self._version_check.versions_behind,
            ),
            "configuration_checks": (
                "Extra reads of the configuration because a peer had a newer one.",
                self._version_check.reads,
            ),
            "zone_reader_calls": ("Calls to readers of the zone.", self._readers.calls),
            "zone_reader_failures": (
                "Calls to readers of the zone that failed.",
                self._readers.failures,
            ),
            "zone_reader_followers": (
                "Other VMs that wait for changes of the store at this VM.",
                self._readers.service.held,
            ),
            "store_era": (
                "Times that the store came back from a copy, as it says.",
                self._era.number,
            ),
            "store_silent_seconds": (
                "Seconds since the store last answered.",
                self._membership.store_silent_s(now),
            ),
            "peers": ("Other registered VMs.", len(self._link.peers)),
            "order_right": ("Whether this VM may send orders.", self._membership.may_order(now)),
            "log_lines_left_out": ("Log lines left out since the start.", event_log.left_out_total),
        }
        for name, (text, value) in single.items():
            yield GaugeReading(name=name, text=text, values={"": float(value)})
        yield GaugeReading(
            name="upstreams", text="Upstreams by state.", label="state", values=dict(states)
        )
        yield GaugeReading(
            name="restricted_clients_total",
            text="Clients that were refused or closed for what they take, since the start.",
            label="reason",
            values={reason: float(count) for reason, count in self._guard.restricted.items()},
        )
        verdicts = Counter(found["verdict"] for found in self._quarantine.describe(now))
        yield GaugeReading(
            name="suspected_parts",
            text="Parts of prompts and whole requests that may crash upstreams, by verdict.",
            label="verdict",
            values={name: float(verdicts[name]) for name in ("suspected", "convicted")},
        )
        yield GaugeReading(
            name="peer_bytes_sent",
            text="Bytes of datagrams sent to other VMs since the start.",
            label="message",
            values={name: float(sent) for name, sent in self._link.bytes_sent.items()},
        )
        limited = list(self._limits.list_all().values())[:MAX_LISTED]
        for name, text, values in (
            (
                "request_limit_per_second",
                "Request limit that an upstream named.",
                [found.limit.rate_per_s for found in limited],
            ),
            (
                "permits_waiting",
                "Requests that wait for permits.",
                [found.waiting for found in limited],
            ),
            (
                "limited_requests_sent",
                "Requests sent since the limit became known.",
                [found.usage.sent_total for found in limited],
            ),
            (
                "limited_requests_held_back",
                "Requests sent elsewhere or delayed since the limit became known.",
                [found.usage.held_back_total for found in limited],
            ),
        ):
            by_upstream = zip((found.name for found in limited), map(float, values), strict=True)
            yield GaugeReading(name=name, text=text, label="upstream", values=dict(by_upstream))
        usages = list(self._quotas.list_all().values())[:MAX_GAUGED_CUSTOMERS]
        for name, text, counts in (
            (
                "quota_admitted_amount",
                "Tokens or requests admitted under the customer's quota since it has one.",
                [usage.total.admitted_amount for usage in usages],
            ),
            (
                "quota_refused_requests",
                "Requests refused by the customer's quota since it has one.",
                [usage.total.refused for usage in usages],
            ),
            (
                "quota_waiting",
                "Requests that wait for credit of the customer's quota.",
                [len(usage.waiting) for usage in usages],
            ),
        ):
            by_customer = zip((usage.name for usage in usages), map(float, counts), strict=True)
            yield GaugeReading(name=name, text=text, label="customer", values=dict(by_customer))
        yield GaugeReading(
            name="retries_left",
            text="Retries left in the current budget window.",
            label="service",
            values={
                name: self._allowance.remaining(name, now) for name in self._allowance.services()
            },
        )
