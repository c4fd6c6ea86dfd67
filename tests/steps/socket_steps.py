"""Steps on the options of sockets to upstreams, by which Linux finds out that a peer is gone."""

from __future__ import annotations

import socket

from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then

from cactusshunt.http1.sockets import tune_socket


@given("the socket of a connection to an upstream")
def make_socket(context: Any) -> None:
    handle = socket.socket()
    context.cleanups = [*getattr(context, "cleanups", []), handle.close]
    tune_socket(SimpleNamespace(socket=handle, setTcpNoDelay=lambda enabled: None))
    context.option = lambda name: handle.getsockopt(socket.IPPROTO_TCP, name)


@then("bytes without an acknowledgement break it off after {least:g} to {most:g} seconds")
def check_unacknowledged(context: Any, least: float, most: float) -> None:
    assert least <= context.option(socket.TCP_USER_TIMEOUT) / 1000.0 <= most


@then(
    "unanswered keep-alive probes break it off after {least:g} to {most:g} seconds, "
    "whatever their count"
)
def check_keepalive(context: Any, least: float, most: float) -> None:
    # With a TCP_USER_TIMEOUT the kernel gives up when it has passed and a probe was sent.
    user_timeout_s = context.option(socket.TCP_USER_TIMEOUT) / 1000.0
    silent_s = context.option(socket.TCP_KEEPIDLE) + context.option(socket.TCP_KEEPINTVL)
    while silent_s < user_timeout_s:
        silent_s += context.option(socket.TCP_KEEPINTVL)
    assert least <= silent_s <= most, silent_s
