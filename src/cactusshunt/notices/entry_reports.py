"""Tells the other VMs which upstreams left or came back, as this VM has read in the store.

Each VM reads the store at times of its own, and some may not hear it for a while. The first one
that reads a change tells the others at once (see docs/design/notices.md).
"""

from __future__ import annotations

import random

from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.membership.messages import EntryReport
from cactusshunt.notices.upstream_notices import MAX_REPORT_DELAY_S
from cactusshunt.notices.upstream_notices import MAX_REPORTED
from cactusshunt.notices.upstream_notices import REPORT_REPEATS_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusshunt.membership.peer_link import PeerLink
    from cactusshunt.routing.upstream_directory import UpstreamDirectory


class EntryReports:
    """Sends and applies what entries in the store say of upstreams that leave or come back."""

    def __init__(
        self, *, reactor: Any, vm: str, directory: UpstreamDirectory, link: PeerLink
    ) -> None:
        self._reactor = reactor
        self._vm = vm
        self._directory = directory
        self._link = link
        self._random = random.Random()
        self._unreported: set[str] = set()  # names of upstreams
        directory.on_left_or_back = self.report_later

    def report_later(self, upstream: str) -> None:
        """Tell the other VMs of an upstream, unless one of them has told this VM by then."""
        if not self._unreported:
            delay_s = self._random.uniform(0.0, MAX_REPORT_DELAY_S)
            self._reactor.callLater(delay_s, self._send_reports)
        self._unreported.add(upstream)

    def apply_message(self, report: EntryReport) -> None:
        """Apply what another VM has read."""
        for found in report.entries:
            if self._directory.apply_told_state(found, era=report.era, source=report.vm):
                self._unreported.discard(found.upstream)

    def _send_reports(self) -> None:
        upstreams, self._unreported = self._unreported, set()
        self._broadcast(upstreams)
        for delay_s in REPORT_REPEATS_S if upstreams else ():
            self._reactor.callLater(delay_s, self._broadcast, upstreams)

    def _broadcast(self, upstreams: Iterable[str]) -> None:
        entries = self._directory.list_read_states(upstreams)
        for era in sorted({era for era, _ in entries}):
            found = [state for its_era, state in entries if its_era == era]
            for begin in range(0, len(found), MAX_REPORTED):
                report = EntryReport(
                    vm=self._vm, era=era, entries=found[begin : begin + MAX_REPORTED]
                )
                self._link.broadcast(report)
