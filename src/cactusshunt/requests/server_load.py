"""Records the load that upstreams report in the heads of their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.exceptions import HeaderValueError
from cactusshunt.node_log import log_event
from cactusshunt.platform import headers as names

if TYPE_CHECKING:
    from cactusshunt.platform.headers import Headers
    from cactusshunt.platform.headers import ServerLoad
    from cactusshunt.routing.upstream import Upstream


def read_load(upstream: Upstream, headers: Headers) -> ServerLoad | None:
    """Return the load that an answer reports, ``None`` if it reports none that can be read.

    The first value that is unreadable or out of range is logged for each upstream.
    """
    try:
        load = names.read_server_load(headers)
    except HeaderValueError as error:
        _log_once(upstream, error.reason)
        return None
    if load is not None and load.out_of_range:
        value = (names.find_header(headers, names.SERVER_LOAD) or b"")[:40]
        _log_once(upstream, f"X-Server-Load is {value!r}, with a number out of range.")
    return load


def record_work_percent(upstream: Upstream, headers: Headers, now: float) -> None:
    """Record how long work takes at the upstream when the head of an answer arrives.

    It holds for this moment; the end of the answer may be seconds later.
    """
    instance = names.find_header(headers, names.INSTANCE_ID)
    if instance is not None and instance != upstream.name.encode():
        return
    load = read_load(upstream, headers)
    if load is not None and load.work_percent is not None:
        upstream.record_work_percent(load.work_percent, now)


def _log_once(upstream: Upstream, reason: str) -> None:
    if not upstream.load_fault_logged:
        upstream.load_fault_logged = True
        log_event("load_unreadable", upstream=upstream.name, reason=reason)
