"""Default ports of test deployments, and their offset in a second test run on one machine."""

from __future__ import annotations

import os

OFFSET_VARIABLE = "TEST_PORT_OFFSET"  # 6000 keeps clear of the default ports and of ephemeral ones


def offset_port(port: int) -> int:
    """Return a default port moved by the offset of this test run."""
    return port + int(os.environ.get(OFFSET_VARIABLE, "0"))
