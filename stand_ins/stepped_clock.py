"""Runs a node whose time of day is set back some seconds after its start.

Run as ``python -m stand_ins.stepped_clock METRICS_PORT STEP_S AFTER_S``. Only ``time.time`` of the
process changes, so the node must be imported afterwards.
"""

from __future__ import annotations

import sys
import time

if __name__ == "__main__":
    metrics_port, step_s, after_s = int(sys.argv[1]), float(sys.argv[2]), float(sys.argv[3])
    read_time_of_day = time.time
    step_at = time.monotonic() + after_s
    time.time = lambda: read_time_of_day() - (step_s if time.monotonic() >= step_at else 0.0)

    from cactusshunt.node import run_node
    from cactusshunt.platform.boot import find_settings_file

    sys.exit(run_node(find_settings_file(), metrics_port))
