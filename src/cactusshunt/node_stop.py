"""Stops a node gracefully: its requests are finished before the process ends."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.node_log import flush_log
from cactusshunt.node_log import log_event
from cactusshunt.requests.stopping import ACCEPT_AFTER_STOP_S
from cactusshunt.requests.stopping import IDLE_BEFORE_CLOSE_S
from cactusshunt.requests.stopping import compute_serving_end
from cactusshunt.requests.stopping import has_ended
from cactusshunt.tasks.periodic import start_coroutine

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.configuration.zone_readers import ZoneReaders
    from cactusshunt.membership.membership_task import MembershipTask
    from cactusshunt.node_state import NodeState
    from cactusshunt.platform.boot import BootSettings
    from cactusshunt.requests.caller_requests import CallerRequests
    from cactusshunt.requests.hedging import Hedging
    from cactusshunt.requests.upstream_picker import UpstreamPicker


class NodeStop:
    """Tells the tasks that the node stops, and ends the process once they have finished.

    ``current_settings`` returns the settings as they were last read;
    ``stop_listening`` closes the ports for requests; ``repeat`` runs a function periodically.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        current_settings: Callable[[], BootSettings],
        state: NodeState,
        callers: CallerRequests,
        readers: ZoneReaders,
        hedging: Hedging,
        picker: UpstreamPicker,
        membership: MembershipTask,
        stop_listening: Callable[[], None],
        repeat: Callable[[float, Callable[[], None]], None],
    ) -> None:
        self._reactor = reactor
        self._current_settings = current_settings
        self._state = state
        self._callers = callers
        self._readers = readers
        self._hedging = hedging
        self._picker = picker
        self._membership = membership
        self._stop_listening = stop_listening
        self._repeat = repeat
        self._stopping_since: float | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the node has been told to stop."""
        return self._stopping_since is not None

    def begin(self) -> None:
        """Become unready, then end when no request is open or time is up."""
        if self._stopping_since is not None:
            return
        self._stopping_since = self._now()
        self._state.stopping = True
        self._callers.begin_stop(self._stopping_since)
        self._readers.service.close()
        self._hedging.begin_stop()
        self._picker.end_waits_at(
            compute_serving_end(self._stopping_since, self._current_settings().bounds.grace_s)
        )
        log_event("stop", in_flight=self._callers.in_flight)
        start_coroutine(self._membership.leave())
        self._repeat(0.05, self._end_when_idle)

    def _end_when_idle(self) -> None:
        assert self._stopping_since is not None
        now = self._now()
        if now < self._stopping_since + ACCEPT_AFTER_STOP_S:
            return
        serving_end = compute_serving_end(
            self._stopping_since, self._current_settings().bounds.grace_s
        )
        if now < serving_end:
            self._callers.close_idle(now - IDLE_BEFORE_CLOSE_S)
        else:
            self._end_serving()
        if has_ended(
            now=now,
            serving_end=serving_end,
            in_flight=self._callers.in_flight,
            connections=len(self._callers.connections),
        ):
            log_event("end", in_flight=self._callers.in_flight)
            flush_log()
            if self._reactor.running:
                self._reactor.stop()

    def _end_serving(self) -> None:
        """Accept nothing more, and send the last answers."""
        # A port that refuses connections tells a new order holder that this process has ended.
        self._membership.give_up("this VM is stopping")
        self._stop_listening()
        self._callers.answer_all()
        self._callers.close_idle(self._now())

    def _now(self) -> float:
        return self._reactor.seconds()  # type: ignore[no-any-return]
