"""Local deployments on loopback, for trying out the system and for tests.

The module deployment runs entry and control processes, platform_deployment runs node processes.
"""

from __future__ import annotations
