"""Clock of the reactor: counts time in which the VM is suspended, and never jumps."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase


def read_steady_clock_s() -> float:
    """Return the time in seconds since the VM's boot, including time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_steady_clock(reactor: ReactorBase) -> None:
    """Make a reactor that has no timers yet use the steady clock.

    By default reactors use the time of day. When that is set back, timers are delayed and leases
    and permits seem to last longer by as much.
    """
    clocked: Any = reactor
    clocked.seconds = read_steady_clock_s
