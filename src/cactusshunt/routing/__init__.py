"""Choice of an upstream."""

from __future__ import annotations
