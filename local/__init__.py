"""Local deployments on loopback, for trying out the system and for tests."""

from __future__ import annotations
