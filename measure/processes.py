"""processor time and memory of a running process, read from ``/proc``."""

from __future__ import annotations

import os

from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def read_cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_rss_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes, or 0 if it has none."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0
