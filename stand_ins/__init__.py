"""Small stand-ins for external systems, used only by tests and local deployments.

The users' platform (platform_engine, platform_store) is that of the node process. The other
stand-ins belong to the entry and control processes, which use another store and other engines.
"""

from __future__ import annotations
