"""Keeps the request limits of upstreams: what is known of them, and what this VM may send."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.exceptions import HeaderValueError
from cactusshunt.limits.limit_register import LimitRegister
from cactusshunt.node_log import log_event
from cactusshunt.platform import headers as names

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

    from cactusshunt.platform.headers import Headers
    from cactusshunt.routing.upstream import Upstream


class RequestLimits:
    """Limits by upstream, as learned from answers."""

    def __init__(self, *, reactor: ReactorBase, vm: str) -> None:
        self._reactor = reactor
        self._register = LimitRegister(vm=vm)

    def record_answer(self, upstream: Upstream, headers: Headers) -> None:
        """Learn from the head of an answer of an upstream whether it names a limit."""
        instance = names.find_header(headers, names.INSTANCE_ID)
        if instance is not None and instance != upstream.name.encode():
            return
        try:
            per_s = names.read_request_limit(headers)
        except HeaderValueError as error:
            log_event("limit_unreadable", upstream=upstream.name, reason=error.reason)
            return
        now = self._reactor.seconds()
        if self._register.record_answer(upstream.name, upstream.entry.born, per_s, now):
            self._log_limit(upstream.name, now)

    def _log_limit(self, upstream: str, now: float) -> None:
        known = self._register.read_latest(upstream)
        assert known is not None
        log_event(
            "limit_named",
            upstream=upstream,
            per_s=known.per_s,
            source=known.source,
            age_ms=int((now - known.observed_at) * 1000),
        )
