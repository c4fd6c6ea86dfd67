"""Headers, documents and calls of the platform that runs the node; no routing or placement."""

from __future__ import annotations
