"""Small stand-ins for external systems, used only by tests and local deployments."""

from __future__ import annotations
