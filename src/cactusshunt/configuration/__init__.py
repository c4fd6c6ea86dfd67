"""Routes of the configuration, and the view of the platform's store."""

from __future__ import annotations
