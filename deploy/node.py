"""Starts the node process of a VM on the users' platform from a source checkout."""

from __future__ import annotations

import sys

from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from cactusshunt import early_signals  # noqa: F401
from cactusshunt.node import run_node
from cactusshunt.platform.boot import find_settings_file

if __name__ == "__main__":
    sys.exit(run_node(find_settings_file(), int(sys.argv[1]) if len(sys.argv) > 1 else 0))
