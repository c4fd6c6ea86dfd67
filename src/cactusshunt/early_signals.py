"""Signal handlers for the time in which the node's modules are imported; import it first.

Until then the process has accepted nothing and has read no settings: it can end at once, and there
is nothing to read again. Without handlers a signal would end it with an error.
"""

from __future__ import annotations

import os
import signal


def _end(number: int, frame: object) -> None:
    os._exit(0)


for _number in (signal.SIGTERM, signal.SIGINT):
    signal.signal(_number, _end)
signal.signal(signal.SIGHUP, signal.SIG_IGN)
