"""Local deployment for newcomers."""

from __future__ import annotations
