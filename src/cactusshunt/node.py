"""The node: the single process of a VM on the platform, with all its tasks."""

from __future__ import annotations

import signal

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.configuration.change_messages import CHANGES_PATH
from cactusshunt.detour.peer_requests import PeerRequests
from cactusshunt.detour.peer_requests import compute_max_detours
from cactusshunt.exceptions import SettingsError
from cactusshunt.http1.client_guard import PEERS_PART
from cactusshunt.http1.client_guard import compute_max_connections
from cactusshunt.membership.announcer import DEMAND_INTERVAL_S
from cactusshunt.membership.announcer import REACH_INTERVAL_S
from cactusshunt.membership.report_times import STATUS_INTERVAL_S
from cactusshunt.membership.zone_summaries import SUMMARY_INTERVAL_S
from cactusshunt.node_log import flush_log
from cactusshunt.node_log import log_event
from cactusshunt.node_log import set_log_vm
from cactusshunt.node_loops import NodeLoops
from cactusshunt.node_ports import NodePorts
from cactusshunt.node_stop import NodeStop
from cactusshunt.node_tasks import NodeTasks
from cactusshunt.platform import documents
from cactusshunt.platform.boot import read_boot_settings
from cactusshunt.quarantine.convicted_keys import CONVICTED_PREFIX
from cactusshunt.ready_page import ReadyPage
from cactusshunt.streams.stream_records import SETTLED_PREFIX
from cactusshunt.streams.stream_records import STREAMS_PREFIX
from cactusshunt.tasks.periodic import start_coroutine
from cactusshunt.tasks.steady_clock import use_steady_clock

if TYPE_CHECKING:
    from pathlib import Path

    from cactusshunt.platform.boot import BootSettings
    from cactusshunt.platform.store import StoredItem

ORDER_TICK_INTERVAL_S = 0.05
REACH_TICK_INTERVAL_S = 0.1
HOUSEKEEPING_INTERVAL_S = 1.0
STREAMS_TICK_INTERVAL_S = 0.5
LOG_FLUSH_INTERVAL_S = 0.1
PEER_TRAFFIC_LOG_INTERVAL_S = 5.0


class Node:
    """Starts and stops the tasks, and applies settings, configurations and changes in the store."""

    def __init__(
        self, *, reactor: Any, settings: BootSettings, settings_path: Path, metrics_port: int = 0
    ) -> None:
        self._reactor = reactor
        self._metrics_port = metrics_port
        self._settings = settings
        self._settings_path = settings_path
        self._known_file_state = self._read_settings_file_state()
        self._version = 0
        self._configuration = b""  # as it was read, for VMs that the store turns away
        self._logged_peer_bytes: Counter[str] = Counter()
        self._loops = NodeLoops(reactor=reactor)
        self._tasks = NodeTasks(
            reactor=reactor,
            current_settings=lambda: self._settings,
            listener=self,
            configuration_version=lambda: self._version,
        )
        self._ports = NodePorts(
            reactor=reactor,
            current_settings=lambda: self._settings,
            budget=self._tasks.budget,
            guard=self._tasks.guard,
            turns=self._tasks.turns,
            is_stopping=lambda: self._stop.has_begun,
            begin_tasks=self._begin_tasks,
        )
        self._stop = NodeStop(
            reactor=reactor,
            current_settings=lambda: self._settings,
            state=self._tasks.state,
            callers=self._tasks.callers,
            readers=self._tasks.readers,
            hedging=self._tasks.hedging,
            picker=self._tasks.picker,
            membership=self._tasks.membership,
            stop_listening=self._ports.close_caller_ports,
            repeat=self._loops.repeat,
        )

    @property
    def exit_status(self) -> int:
        """The status with which the process ends."""
        return self._ports.exit_status

    def start(self) -> None:
        """Open the listening ports and start all tasks."""
        settings = self._settings
        log_event("start", version=self._version, zone=settings.zone)
        page = ReadyPage(
            is_ready=self.is_ready,
            dump=self._tasks.state.dump_state,
            lift=self._tasks.quarantine.lift,
            explain=self._tasks.where.explain,
        )
        peer_requests = PeerRequests(
            callers=self._tasks.callers,
            link=self._tasks.link,
            configuration_version=lambda: self._version,
            outdated=self._tasks.outdated,
            configuration=lambda: self._configuration,
            answers={CHANGES_PATH: self._tasks.readers.service.handle},
            clock=self._now,
            max_detours=compute_max_detours(
                compute_max_connections(settings.limits.max_fds, PEERS_PART)
            ),
        )
        self._ports.open(
            link=self._tasks.link,
            peer_requests=peer_requests,
            callers=self._tasks.callers,
            page=page,
        )

    def _begin_tasks(self) -> None:
        self._ports.serve_metrics(self._metrics_port, self._tasks.telemetry.page)
        start_coroutine(self._tasks.view.run())
        start_coroutine(self._tasks.membership.run())
        self._loops.repeat(ORDER_TICK_INTERVAL_S, self._tasks.orders.tick)
        self._loops.repeat(REACH_TICK_INTERVAL_S, self._tasks.reach.tick)
        self._loops.repeat(STATUS_INTERVAL_S, self._tasks.announcer.send_status)
        self._loops.repeat(SUMMARY_INTERVAL_S, self._tasks.summaries.send)
        self._loops.repeat(REACH_INTERVAL_S, self._tasks.announcer.send_reach)
        self._loops.repeat(DEMAND_INTERVAL_S, self._tasks.announcer.send_demand)
        self._loops.repeat(HOUSEKEEPING_INTERVAL_S, self._run_housekeeping)
        self._loops.repeat(STREAMS_TICK_INTERVAL_S, self._tasks.streams.tick)
        self._loops.repeat(LOG_FLUSH_INTERVAL_S, flush_log)
        self._loops.repeat(PEER_TRAFFIC_LOG_INTERVAL_S, self._log_peer_traffic)

    def is_ready(self) -> bool:
        """Return whether the load balancer should send new callers here."""
        return self._version > 0 and not self._stop.has_begun

    def stop(self) -> None:
        """Stop gracefully: become unready, then end when no request is open or time is up."""
        self._stop.begin()

    def stored_item_changed(self, item: StoredItem) -> None:
        """Dispatch a change in the store to the task that it concerns."""
        if item.key == documents.CONFIGURATION_KEY:
            self._apply_configuration(item)
        elif item.key.startswith(documents.UPSTREAMS_PREFIX):
            self._tasks.directory.apply_stored_entry(item)
        elif item.key.startswith(CONVICTED_PREFIX):
            self._tasks.quarantine.apply_stored_item(item)
        elif item.key.startswith((STREAMS_PREFIX, SETTLED_PREFIX)):
            self._tasks.streams.apply_stored_item(item)
        elif item.key.startswith(documents.SYSTEM_PREFIX):
            if item.value is None:
                self._tasks.outdated.remember_registered()
            self._tasks.membership.apply_stored_item(item)
            self._tasks.allowance.set_vm_count(1 + len(self._tasks.link.peers))

    def store_answered(self) -> None:
        """Record a read of the store, of which all changes have been applied."""
        self._tasks.membership.record_store_read()

    def reload(self) -> None:
        """Read the settings file again; only the hedging share applies before the next start."""
        self._known_file_state = self._read_settings_file_state()
        try:
            self._settings = read_boot_settings(self._settings_path)
        except SettingsError as error:
            log_event("settings_rejected", reason=error.reason)
            return
        self._tasks.hedging.set_share(self._settings.hedging.max_share)
        log_event("settings_reloaded")

    def _apply_configuration(self, item: StoredItem) -> None:
        if item.value is None:
            return
        try:
            configuration = documents.decode_configuration(item.value)
        except SettingsError as error:
            log_event("configuration_rejected", reason=error.reason)
            return
        if configuration.version < self._version:
            log_event("configuration_older", version=configuration.version, in_force=self._version)
        if configuration.version <= self._version:
            return
        self._version, self._configuration = configuration.version, item.value
        self._tasks.state.record_configuration(configuration.version)
        self._tasks.version_check.record_own_version(configuration.version)
        self._tasks.announcer.announce_configuration(configuration.version)
        self._tasks.quotas.set_customers(configuration.customers)
        self._tasks.hedging.set_services(configuration.routed_services)
        self._tasks.callers.set_configuration(configuration)
        self._tasks.reach.set_configuration(configuration)
        self._tasks.streams.set_configuration(configuration)
        self._tasks.orders.set_configuration(configuration)
        customers = configuration.customers
        log_event(
            "configuration",
            version=configuration.version,
            routes=len(configuration.routes),
            customers=None if customers is None else len(customers),
        )

    def _run_housekeeping(self) -> None:
        self._tasks.pool.close_expired()
        self._tasks.order_pool.close_expired()
        self._tasks.peer_pool.close_expired()
        self._tasks.reader_pool.close_expired()
        self._tasks.quarantine.tick()
        self._tasks.notices.tick()
        for source, refused in self._tasks.guard.list_reports():
            log_event("client_restricted", source=source, refused=refused)
        if self._read_settings_file_state() != self._known_file_state:
            self.reload()

    def _log_peer_traffic(self) -> None:
        sent = Counter(self._tasks.link.bytes_sent)
        recent = sent - self._logged_peer_bytes
        self._logged_peer_bytes = sent
        if recent:
            log_event(
                "peer_traffic", interval_s=PEER_TRAFFIC_LOG_INTERVAL_S, bytes_sent=dict(recent)
            )

    def _read_settings_file_state(self) -> tuple[int, int]:
        try:
            file_status = self._settings_path.stat()
        except OSError:
            return (0, 0)
        return (file_status.st_mtime_ns, file_status.st_size)

    def _now(self) -> float:
        return self._reactor.seconds()  # type: ignore[no-any-return]


def run_node(path: Path, metrics_port: int = 0) -> int:
    """Run the process until a signal stops it, and return its exit status: 2 if its settings are
    not valid, 3 if one of its ports stays in use.

    Metrics are served on ``metrics_port`` of the VM's address, unless it is 0.
    """
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    use_steady_clock(reactor)
    try:
        settings = read_boot_settings(path)
    except SettingsError as error:
        set_log_vm("")
        log_event("settings_rejected", reason=str(error))
        flush_log()
        return 2
    set_log_vm(settings.node)
    node = Node(reactor=reactor, settings=settings, settings_path=path, metrics_port=metrics_port)
    reactor.callWhenRunning(node.start)
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(node.stop))
    signal.signal(signal.SIGINT, lambda *_: reactor.callFromThread(node.stop))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(node.reload))
    reactor.run(installSignalHandlers=False)
    # The interpreter's shutdown restores default handlers, but keeps signals ignored.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    return node.exit_status
