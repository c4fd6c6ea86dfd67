"""TCP options of the sockets to callers and upstreams."""

from __future__ import annotations

import socket

from typing import Any

# TCP_USER_TIMEOUT: longest wait for an ACK. A sound upstream may be silent for a second or so. By
# it Linux also decides when keep-alive probes give up, whatever their count.
USER_TIMEOUT_MS = 1500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def tune_socket(
    transport: Any,
    *,
    user_timeout_ms: int = USER_TIMEOUT_MS,
    idle_s: int = KEEPALIVE_IDLE_S,
    interval_s: int = KEEPALIVE_INTERVAL_S,
    probes: int = KEEPALIVE_PROBES,
) -> None:
    """Let the kernel detect connections whose peer vanished without closing them."""
    handle = getattr(transport, "socket", None)
    if handle is None:
        return
    transport.setTcpNoDelay(True)
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
