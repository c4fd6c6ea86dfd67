"""Notices of upstreams for steps on other subjects, in which no upstream says anything."""

from __future__ import annotations

from typing import Any

from cactusshunt.membership.peer_link import PeerLink
from cactusshunt.notices.upstream_notices import UpstreamNotices
from cactusshunt.routing.upstream_directory import UpstreamDirectory


def make_notices(reactor: Any, directory: UpstreamDirectory | None = None) -> UpstreamNotices:
    """Return the notices of a VM without peers."""
    known = directory or UpstreamDirectory(drain_s=2.0, clock=reactor.seconds)
    link = PeerLink(vm="vm0", receive=lambda message: None)
    return UpstreamNotices(reactor=reactor, vm="vm0", directory=known, link=link, drain_s=2.0)
