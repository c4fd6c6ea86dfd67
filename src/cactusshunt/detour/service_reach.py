"""Which services this VM reaches over its own links, and which VMs reach the others.

A service is doubted when requests were sent and none of its upstreams has been heard for a while,
or connections failed since. Probes then decide: they, and not callers' requests, also find out when
the links work again.
"""

from __future__ import annotations

import enum
import random

from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import DeferredList

from cactusshunt.exceptions import UpstreamError
from cactusshunt.http1.collected_answer import MAX_ENGINE_BODY_BYTES
from cactusshunt.http1.collected_answer import call
from cactusshunt.node_log import log_event
from cactusshunt.platform import headers as names
from cactusshunt.routing.failure_history import FailureHistory
from cactusshunt.tasks.periodic import start_coroutine

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from cactusshunt.http1.connection_pool import ConnectionPool
    from cactusshunt.http1.memory_budget import MemoryBudget
    from cactusshunt.notices.departures import Run
    from cactusshunt.notices.upstream_notices import UpstreamNotices
    from cactusshunt.platform.documents import Configuration
    from cactusshunt.routing.upstream import Upstream
    from cactusshunt.routing.upstream_directory import UpstreamDirectory

SILENCE_S = 0.6  # longer than nearly all first bytes take to arrive
PROBE_TIMEOUT_S = 0.4
PROBE_INTERVAL_S = 0.4
PROBED_UPSTREAMS = 3  # at once
HEARD_LIFETIME_S = 1.0  # for which a service counts as reached for the other VMs
PEER_WORD_LIFETIME_S = 2.0  # two reports to VMs of other zones in a large fleet
DEFAULT_HEALTH_PATH = "/healthz"


class ReachState(enum.Enum):
    """Whether this VM reaches a service's upstreams."""

    REACHED = "reached"
    DOUBTED = "doubted"  # probes decide
    CUT_OFF = "cut off"  # probes failed, and another VM reaches the service


@dataclass(kw_only=True)
class _Service:
    state: ReachState = ReachState.REACHED
    heard_at: float = float("-inf")
    unheard_since: float | None = None  # the first send or failure since an upstream was heard
    failed: bool = False  # a connection failed since then
    next_probe_at: float = 0.0
    probing: bool = False
    peers: dict[str, float] = field(default_factory=dict)  # when each heard of an upstream


def _is_heard_elsewhere(found: _Service) -> bool:
    """Return whether another VM has heard of a service since this one has not.

    Else the service itself may be silent, at all VMs.
    """
    assert found.unheard_since is not None
    return any(at > found.unheard_since for at in found.peers.values())


class ServiceReach:
    """Records what is heard from upstreams, and probes services from which nothing is heard.

    Times are reactor time in seconds. ``budget`` bounds the answers to health checks together.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        pool: ConnectionPool,
        directory: UpstreamDirectory,
        notices: UpstreamNotices,
        budget: MemoryBudget | None = None,
    ) -> None:
        self._budget = budget
        self._reactor = reactor
        self._notices = notices
        self._pool = pool
        self._directory = directory
        self._random = random.Random()
        self._services: dict[str, _Service] = {}
        self._health_paths: dict[str, str] = {}
        self._asked: set[Run] = set()  # whose answers are awaited

    def set_configuration(self, configuration: Configuration) -> None:
        """Use the paths for health checks of a configuration from now on."""
        self._health_paths = {found.name: found.health_path for found in configuration.services}

    def record_send(self, service: str) -> None:
        """Record that a request was sent to an upstream of a service."""
        found = self._find(service)
        if found.unheard_since is None:
            found.unheard_since = self._now()

    def record_heard(self, service: str) -> None:
        """Record that an upstream of a service answered something."""
        found = self._find(service)
        found.heard_at = self._now()
        found.unheard_since = None
        found.failed = False
        if found.state is not ReachState.REACHED:
            self._end_cut(service, found)

    def record_failure(self, service: str) -> None:
        """Record that a connection to an upstream of a service failed or was not opened."""
        self.record_send(service)
        self._find(service).failed = True

    def record_peer_word(self, vm: str, ages_ms: Mapping[str, int]) -> None:
        """Record how long ago another VM heard of each service, in ms."""
        now = self._now()
        for service, age_ms in ages_ms.items():
            self._find(service).peers[vm] = now - age_ms / 1000.0

    def is_cut_off(self, service: str) -> bool:
        """Return whether this VM does not reach a service that another VM reaches."""
        return self._find(service).state is ReachState.CUT_OFF

    def list_reached(self) -> dict[str, int]:
        """Return the services of which this VM heard of late, with the ms since, for the others."""
        now = self._now()
        return {
            name: int((now - found.heard_at) * 1000)
            for name, found in self._services.items()
            if found.heard_at > now - HEARD_LIFETIME_S
        }

    def list_cut_off(self) -> list[str]:
        """Return the services that this VM is cut off from."""
        return [name for name in self._services if self.is_cut_off(name)]

    def list_helpers(self, service: str) -> list[str]:
        """Return the VMs that heard of a service of late."""
        since = self._now() - PEER_WORD_LIFETIME_S
        return [vm for vm, at in self._find(service).peers.items() if at > since]

    def tick(self) -> None:
        """Probe the services that are in doubt or cut off."""
        now = self._now()
        for service, found in self._services.items():
            if found.state is ReachState.REACHED and self._is_doubtful(found, now):
                found.state = ReachState.DOUBTED
            is_due = now >= found.next_probe_at and not found.probing
            if found.state is not ReachState.REACHED and is_due:
                start_coroutine(self._probe(service, found))

    def _is_doubtful(self, found: _Service, now: float) -> bool:
        if found.unheard_since is None:
            return False
        return found.failed or now >= found.unheard_since + SILENCE_S

    def ask(self, upstream: Upstream) -> None:
        """Send a health check to an upstream of which only another start is known to leave."""
        run = self._notices.find_run(upstream.name)
        if run is not None and run not in self._asked:
            self._asked.add(run)
            start_coroutine(self._ask(upstream, run))

    async def _ask(self, upstream: Upstream, run: Run) -> None:
        try:
            await self._probe_upstream(upstream, lambda: self._notices.may_ask(run))
        finally:
            self._asked.discard(run)

    async def _probe(self, service: str, found: _Service) -> None:
        upstreams = [found for found in self._directory.usable(service) if self._may_call(found)]
        chosen = self._random.sample(upstreams, min(PROBED_UPSTREAMS, len(upstreams)))
        found.probing = True
        try:
            probes = [
                Deferred.fromCoroutine(self._probe_upstream(each, partial(self._may_call, each)))
                for each in chosen
            ]
            answers = await DeferredList(probes, consumeErrors=True)
        finally:
            found.probing = False
            found.next_probe_at = self._now() + PROBE_INTERVAL_S
        if any(succeeded and answered for succeeded, answered in answers):
            self.record_heard(service)
        elif found.state is ReachState.DOUBTED and chosen and _is_heard_elsewhere(found):
            found.state = ReachState.CUT_OFF
            log_event("cut_off", service=service, helpers=len(self.list_helpers(service)))

    def _may_call(self, upstream: Upstream) -> bool:
        return self._notices.may_call(self._notices.find_run(upstream.name))

    async def _probe_upstream(self, upstream: Upstream, may_send: Callable[[], bool]) -> bool:
        """Return whether an upstream answers a health check with anything."""
        path = self._health_paths.get(upstream.entry.service, DEFAULT_HEALTH_PATH)
        run = self._notices.find_run(upstream.name)
        sent_at = self._now()
        try:
            answer = await call(
                reactor=self._reactor,
                pool=self._pool,
                address=upstream.address,
                method=b"GET",
                target=path.encode(),
                headers=[(b"X-Expect-Instance", upstream.name.encode())],
                deadline=sent_at + PROBE_TIMEOUT_S,
                may_send=may_send,
                max_body_bytes=MAX_ENGINE_BODY_BYTES,
                budget=self._budget,
            )
        except UpstreamError:
            return False
        # A health check has no ID, but the answer names the upstream that made it.
        instance = names.find_header(answer.headers, names.INSTANCE_ID)
        if run is not None and instance == upstream.name.encode():
            self._notices.record_answer(
                run, status=answer.status, headers=answer.headers, sent_at=sent_at
            )
        return True

    def _end_cut(self, service: str, found: _Service) -> None:
        """Use the service's upstreams again, whose failures were those of the links."""
        if found.state is ReachState.CUT_OFF:
            log_event("reached_again", service=service)
            for upstream in self._directory.of_service(service):
                upstream.failure_history = FailureHistory()
        found.state = ReachState.REACHED

    def _find(self, service: str) -> _Service:
        return self._services.setdefault(service, _Service())

    def _now(self) -> float:
        return self._reactor.seconds()  # type: ignore[no-any-return]
