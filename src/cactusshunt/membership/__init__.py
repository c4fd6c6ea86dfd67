"""Who takes part: peers, and who may give orders."""

from __future__ import annotations
