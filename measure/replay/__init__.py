"""Simulation that replays seeded traces through the real planner, router and admission."""

from __future__ import annotations
