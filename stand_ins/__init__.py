"""Small stand-ins for outside systems; for tests and the local deployment only."""

from __future__ import annotations
