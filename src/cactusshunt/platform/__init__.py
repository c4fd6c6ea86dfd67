"""Adapter to the users' platform: names, formats and calls; decides nothing."""

from __future__ import annotations
